import type { IncomingMessage } from 'node:http';

/** Memory of one header line besides its bytes: two strings, and their entries in the parser's list and in the headers. */
const headerLineBytes = 256;
/** Shortest header line: a name of one character, a colon and the end of the line. */
const minLineBytes = 4;
/** Colon and end of a header line. */
const emptyLineBytes = 3;
const newline = 10;

/** Header lines that the listener and Node.js read in every request. */
const commonHeaders = ['host', 'connection', 'content-length', 'content-type', 'transfer-encoding'];

function countLines(bytes: Buffer): number {
  let lines = 0;
  for (const byte of bytes) if (byte === newline) lines += 1;
  return lines;
}

/** Least size of the path and the header lines as they were sent, in bytes. */
export function computeHeadBytes({ url = '', rawHeaders }: IncomingMessage): number {
  const lineEndBytes = (rawHeaders.length / 2) * emptyLineBytes;
  return rawHeaders.reduce((sum, text) => sum + text.length, url.length + lineEndBytes);
}

/** Memory that the head of a request takes, in bytes. */
export function computeHeldBytes(request: IncomingMessage): number {
  return computeHeadBytes(request) + (request.rawHeaders.length / 2) * headerLineBytes;
}

/** Returns a filter that drops all header lines but these, and later the trailers, from a request. */
export function createHeadFilter(
  usedHeaders: readonly string[],
): (request: IncomingMessage) => void {
  const used = new Set([...commonHeaders, ...usedHeaders]);
  return (request) => {
    const { headers, rawHeaders } = request;
    request.headers = Object.fromEntries(
      Object.entries(headers).filter(([name]) => used.has(name)),
    );
    request.rawHeaders = rawHeaders.flatMap((name, index) => {
      const isName = index % 2 === 0;
      return isName && used.has(name.toLowerCase()) ? [name, rawHeaders[index + 1] ?? ''] : [];
    });
    request.once('end', () => {
      request.rawTrailers = [];
    });
  };
}

/** Upper bound of what the parser of one connection holds of a head, or of trailers, that have not arrived as a whole. */
export interface ParserLoad {
  /** Adds bytes that are about to be parsed. */
  addBytes(slice: Buffer): void;
  /** Records that the parser has handed over the head of a request. */
  startRequest(request: IncomingMessage): void;
  getHeldBytes(): number;
}

/** Creates the load of a parser that takes heads and trailers of at most `maxBytes`. */
export function createParserLoad(maxBytes: number): ParserLoad {
  let request: IncomingMessage | undefined;
  let bytes = 0;
  let lines = 0;
  /** Those of the latest slice alone. */
  let sliceBytes = 0;
  let sliceLines = 0;

  /** A head may have begun anywhere in the latest slice, behind the request before it. */
  function startHead(): void {
    request = undefined;
    bytes = sliceBytes;
    lines = sliceLines;
  }

  function canHold(): boolean {
    // Of a body with a stated length the parser holds nothing, and no trailers follow it.
    return request === undefined || request.complete || 'transfer-encoding' in request.headers;
  }

  return {
    addBytes(next) {
      if (request?.complete === true) startHead();
      sliceBytes = next.length;
      sliceLines = countLines(next);
      bytes = Math.min(maxBytes, bytes + sliceBytes);
      lines += sliceLines;
    },
    startRequest(next) {
      startHead();
      request = next;
    },
    getHeldBytes() {
      if (!canHold()) return 0;
      return bytes + Math.min(lines, maxBytes / minLineBytes) * headerLineBytes;
    },
  };
}
