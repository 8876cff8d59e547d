import { createServer } from 'node:net';

// Below the ephemeral port range of Linux: an outgoing connection of another daemon could take a free
// port of that range before the new one listens on it.
const firstPort = 20_000;
const portCount = 12_000;
let nextPort = process.pid * 41;

async function canListen(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

/** Returns a port that is currently free on the loopback address. */
export async function findFreePort(): Promise<number> {
  for (;;) {
    nextPort += 1;
    const port = firstPort + (nextPort % portCount);
    if (await canListen(port)) return port;
  }
}
