import { Agent, request } from 'undici';

/** HTTP response of a daemon or of the stand-in platform, with its body as text. */
export interface HttpResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: string;
}

/** Options of one HTTP request; `body` is sent as JSON. */
export interface CallOptions {
  method?: 'GET' | 'POST' | 'DELETE';
  token?: string;
  headers?: Record<string, string>;
  body?: unknown;
}

const agent = new Agent({ connections: 256, pipelining: 1 });

/** Sends one request; rejects when the connection fails. */
export async function callHttp(url: string, options: CallOptions = {}): Promise<HttpResponse> {
  const headers: Record<string, string> = { ...options.headers };
  if (options.token !== undefined) headers.authorization = `Bearer ${options.token}`;
  if (options.body !== undefined) headers['content-type'] = 'application/json';
  const response = await request(url, {
    dispatcher: agent,
    method: options.method ?? 'GET',
    headers,
    body: options.body === undefined ? null : JSON.stringify(options.body),
  });
  return {
    status: response.statusCode,
    headers: response.headers,
    body: await response.body.text(),
  };
}

/** Sends one request and parses its JSON response; rejects on a status other than 2xx. */
export async function callJson<T>(url: string, options: CallOptions = {}): Promise<T> {
  const response = await callHttp(url, options);
  if (response.status < 200 || response.status > 299) {
    throw new Error(`${url} returned status ${response.status}: ${response.body}`);
  }
  return JSON.parse(response.body) as T;
}

/** Closes the HTTP connections that this process has opened. */
export async function closeClient(): Promise<void> {
  await agent.destroy();
}
