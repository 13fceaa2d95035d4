/** What every part that serves HTTP or passes it on needs. */
export type { SocketAddress } from './address.js';
export { parseSocketAddress } from './address.js';
export { isHopByHop } from './hop-by-hop.js';
export { startListening } from './listen.js';
export { openSocket } from './open-socket.js';
export { ListenerState, probeListener } from './probe.js';
