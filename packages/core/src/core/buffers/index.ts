/** Memory for bytes that arrive in pieces. */
export { ByteBuffer } from './byte-buffer.js';
