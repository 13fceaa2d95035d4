/** Addresses of the form `host:port`. */

/** Host and port that a connection can be opened to. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

const ADDRESS_PATTERN = /^([^:\s]+):([1-9]\d{0,4})$/;
const MAX_PORT = 65_535;

/**
 * Parses an address; the port is a decimal number from 1 to 65535.
 * @returns Undefined if the text has another form.
 */
export function parseSocketAddress(text: string): SocketAddress | undefined {
  const [, host, digits] = ADDRESS_PATTERN.exec(text) ?? [];
  const port = Number(digits);
  return host !== undefined && port <= MAX_PORT ? { host, port } : undefined;
}
