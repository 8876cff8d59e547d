import { Client } from 'undici';

/** A connection to an endpoint that carries one exchange at a time. */
export interface Connection {
  client: Client;
  /** Request ids of the last exchanges on it, to tell a late answer from the expected one. */
  recentIds: string[];
}

/** Connections to one endpoint. */
export interface Connections {
  /** Takes an idle connection or opens one; `undefined` when the limit is reached. */
  takeConnection(requestId: string): Connection | undefined;
  /** Gives a connection back; one that is not `isReusable` is closed. */
  releaseConnection(connection: Connection, isReusable: boolean): void;
  setLimit(limit: number): void;
  countOpen(): number;
  close(): void;
}

const connectTimeoutMs = 1000;
const keepAliveMs = 4000;
const recentIdLimit = 8;

/** Creates the connections to `address` (`ip:port`). */
export function createConnections(address: string, firstLimit: number): Connections {
  const idle: Connection[] = [];
  const open = new Set<Connection>();
  let limit = firstLimit;

  function closeConnection(connection: Connection): void {
    open.delete(connection);
    const index = idle.indexOf(connection);
    if (index >= 0) idle.splice(index, 1);
    void connection.client.destroy().catch(() => undefined);
  }

  function openConnection(): Connection {
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      connectTimeout: connectTimeoutMs,
      keepAliveTimeout: keepAliveMs,
      keepAliveMaxTimeout: keepAliveMs,
      maxHeaderSize: 16_384,
    });
    const connection = { client, recentIds: [] };
    client.on('disconnect', () => {
      if (idle.includes(connection)) closeConnection(connection);
    });
    open.add(connection);
    return connection;
  }

  function takeIdle(requestId: string): Connection | undefined {
    for (let index = idle.length - 1; index >= 0; index -= 1) {
      const connection = idle[index];
      // Two accounts may use the same id, and a late answer to the first would pass for the second.
      if (connection === undefined || connection.recentIds.includes(requestId)) continue;
      idle.splice(index, 1);
      return connection;
    }
    return undefined;
  }

  function takeConnection(requestId: string): Connection | undefined {
    let connection = takeIdle(requestId);
    if (connection === undefined) {
      if (open.size >= limit && idle[0] !== undefined) closeConnection(idle[0]);
      if (open.size >= limit) return undefined;
      connection = openConnection();
    }
    connection.recentIds.push(requestId);
    if (connection.recentIds.length > recentIdLimit) connection.recentIds.shift();
    return connection;
  }

  function releaseConnection(connection: Connection, isReusable: boolean): void {
    const isKept = isReusable && open.has(connection) && open.size <= limit;
    if (isKept && !connection.client.destroyed) idle.push(connection);
    else closeConnection(connection);
  }

  return {
    takeConnection,
    releaseConnection,
    setLimit: (next) => {
      limit = next;
    },
    countOpen: () => open.size,
    close: () => {
      for (const connection of [...open]) closeConnection(connection);
    },
  };
}
