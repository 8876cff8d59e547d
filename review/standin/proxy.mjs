// TCP proxy between an instance and the store. It can make its open connections go silent for good,
// without a reset, while new ones work.
import { connect, createServer } from 'node:net';

/** Starts a proxy to a loopback port. */
export async function startProxy(targetPort) {
  const links = new Set();
  const server = createServer((client) => {
    const target = connect(targetPort, '127.0.0.1');
    const link = { client, target, isSilent: false };
    links.add(link);
    const forward = (from, to) => {
      from.on('data', (chunk) => {
        if (!link.isSilent) to.write(chunk);
      });
      from.on('error', () => undefined);
      from.on('close', () => {
        if (!link.isSilent) to.destroy();
        if (client.destroyed && target.destroyed) links.delete(link);
      });
    };
    client.setNoDelay(true);
    target.setNoDelay(true);
    forward(client, target);
    forward(target, client);
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Bytes on the connections that are open now are lost from now on. */
    silenceOpenConnections() {
      for (const link of links) link.isSilent = true;
      return links.size;
    },
    close() {
      server.close();
      for (const { client, target } of links) {
        client.destroy();
        target.destroy();
      }
    },
  };
}
