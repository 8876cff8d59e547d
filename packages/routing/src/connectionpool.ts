import { Client } from 'undici';

/** A connection to an endpoint that carries one exchange at a time. */
export interface Connection {
  client: Client;
  /** Request ids of recent exchanges; not reused here, so that late answers are recognised. */
  recentIds: string[];
}

/** Connection pool of one endpoint. */
export interface ConnectionPool {
  /** Returns an idle connection or opens one; `undefined` when the limit is reached. */
  takeConnection(requestId: string): Connection | undefined;
  /** Returns a connection to the pool, or closes it if it is not `isReusable`. */
  releaseConnection(connection: Connection, isReusable: boolean): void;
  setLimit(limit: number): void;
  countOpen(): number;
  close(): void;
}

const connectTimeoutMs = 1000;
const keepAliveMs = 4000;
const maxRecentIds = 8;

/** Creates an empty pool for `address` (`ip:port`). */
export function createConnectionPool(address: string, firstLimit: number): ConnectionPool {
  const idle: Connection[] = [];
  const openConnections = new Set<Connection>();
  let limit = firstLimit;

  function closeConnection(connection: Connection): void {
    openConnections.delete(connection);
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
    openConnections.add(connection);
    return connection;
  }

  function takeIdle(requestId: string): Connection | undefined {
    for (let index = idle.length - 1; index >= 0; index -= 1) {
      const connection = idle[index];
      // Two accounts may use the same request id; a late answer to the first request would then be
      // accepted as the answer to the second.
      if (connection === undefined || connection.recentIds.includes(requestId)) continue;
      idle.splice(index, 1);
      return connection;
    }
    return undefined;
  }

  function takeConnection(requestId: string): Connection | undefined {
    let connection = takeIdle(requestId);
    if (connection === undefined) {
      if (openConnections.size >= limit && idle[0] !== undefined) closeConnection(idle[0]);
      if (openConnections.size >= limit) return undefined;
      connection = openConnection();
    }
    connection.recentIds.push(requestId);
    if (connection.recentIds.length > maxRecentIds) connection.recentIds.shift();
    return connection;
  }

  function releaseConnection(connection: Connection, isReusable: boolean): void {
    const canReuse = isReusable && openConnections.has(connection) && openConnections.size <= limit;
    if (canReuse && !connection.client.destroyed) idle.push(connection);
    else closeConnection(connection);
  }

  return {
    takeConnection,
    releaseConnection,
    setLimit: (newLimit) => {
      limit = newLimit;
    },
    countOpen: () => openConnections.size,
    close: () => {
      for (const connection of [...openConnections]) closeConnection(connection);
    },
  };
}
