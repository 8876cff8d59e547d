import { Agent, request } from 'undici';

/** Answer of a daemon or of the stand-in, with its body as text. */
export interface ClientAnswer {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: string;
}

/** Options of one call. */
export interface CallOptions {
  method?: 'GET' | 'POST' | 'DELETE';
  token?: string;
  headers?: Record<string, string>;
  body?: unknown;
}

const agent = new Agent({ connections: 256, pipelining: 1 });

/** Sends one request; rejects when the connection fails. */
export async function callHttp(url: string, options: CallOptions = {}): Promise<ClientAnswer> {
  const headers: Record<string, string> = { ...options.headers };
  if (options.token !== undefined) headers.authorization = `Bearer ${options.token}`;
  if (options.body !== undefined) headers['content-type'] = 'application/json';
  const answer = await request(url, {
    dispatcher: agent,
    method: options.method ?? 'GET',
    headers,
    body: options.body === undefined ? null : JSON.stringify(options.body),
  });
  return { status: answer.statusCode, headers: answer.headers, body: await answer.body.text() };
}

/** Sends one request and parses its JSON answer; rejects on a status other than 2xx. */
export async function callJson<T>(url: string, options: CallOptions = {}): Promise<T> {
  const answer = await callHttp(url, options);
  if (answer.status < 200 || answer.status > 299) {
    throw new Error(`${url} answered ${answer.status}: ${answer.body}`);
  }
  return JSON.parse(answer.body) as T;
}

/** Closes the connections of this process's calls. */
export async function closeClient(): Promise<void> {
  await agent.destroy();
}
