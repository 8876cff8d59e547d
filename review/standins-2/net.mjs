// Small helpers for HTTP on the loopback address.
import { request as sendRequest } from 'node:http';
import { createServer } from 'node:net';

/** Ports that one case may use. */
export const portsPerCase = 200;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));

/** Listens on a free port of the loopback address; resolves with `ip:port`. */
export async function listen(server) {
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${server.address().port}`;
}

/**
 * Finds `count` free ports of the loopback address from `first` on. They lie below the range of outgoing
 * connections, since an instance that restarts must find its ports free.
 */
export async function findPorts(count, first) {
  const ports = [];
  for (let port = first; ports.length < count && port < first + portsPerCase; port += 1) {
    const server = createServer();
    const isFree = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    ports.push(port);
  }
  if (ports.length < count) throw new Error('no free ports');
  return ports;
}

/** Reads a request's body; parsed unless `isText`. */
export async function readJson(request, isText = false) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return isText ? text : JSON.parse(text);
}

export function sendJson(response, status, body) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Sends one request; resolves with `{status, body}`, with status 0 if there is no answer. */
export function send(address, method, path, { headers = {}, body, timeoutMs = 3000, agent } = {}) {
  const [host, port] = address.split(':');
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise((resolve) => {
    const request = sendRequest(
      {
        ...{ host, port, method, path, agent },
        headers: {
          ...headers,
          ...(text === undefined
            ? {}
            : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
        },
      },
      (response) => {
        readJson(response, true).then(
          (answer) => finish(response.statusCode, answer),
          () => finish(0, 'answer cut'),
        );
      },
    );
    const timer = setTimeout(() => {
      finish(0, 'no answer');
      request.destroy();
    }, timeoutMs);
    function finish(status, answer) {
      clearTimeout(timer);
      resolve({ status, body: answer });
    }
    request.on('error', (error) => finish(0, error.code ?? error.message));
    request.end(text);
  });
}
