import { createHash, timingSafeEqual } from 'node:crypto';
import type { EffectiveConfig } from '@bergamotreach/config';

/** Authenticated sender of a request. */
export interface Caller {
  account: string;
  /** Whether it can change the configuration and see all accounts. */
  isOperator: boolean;
}

/** Account name of callers that use the operator token of the settings. */
export const operatorAccount = 'operator';

interface TokenEntry {
  hash: Buffer;
  caller: Caller;
}

/** Authenticates requests by bearer token. */
export interface Authenticator {
  applyConfig(config: EffectiveConfig): void;
  /** Finds the caller of an authorization header; `undefined` without a valid token. */
  findCaller(authorization: string | undefined): Caller | undefined;
}

const bearerPattern = /^Bearer ([!-~]{1,512})$/u;

function listTokens(config: EffectiveConfig): TokenEntry[] {
  return Object.entries(config.accounts).flatMap(([account, { tokenHashes, isOperator }]) =>
    tokenHashes.map((hash) => ({
      hash: Buffer.from(hash, 'hex'),
      caller: { account, isOperator },
    })),
  );
}

/** Creates an authenticator that accepts only the operator token until `applyConfig` is called. */
export function createAuthenticator(operatorTokenHash: string): Authenticator {
  const operator: TokenEntry = {
    hash: Buffer.from(operatorTokenHash, 'hex'),
    caller: { account: operatorAccount, isOperator: true },
  };
  let tokens: TokenEntry[] = [operator];

  // Compares with every token in constant time, so that timing reveals nothing about them.
  function findCaller(authorization: string | undefined): Caller | undefined {
    const token = bearerPattern.exec(authorization ?? '')?.[1];
    if (token === undefined) return undefined;
    const hash = createHash('sha256').update(token).digest();
    let found: Caller | undefined;
    for (const entry of tokens) {
      if (timingSafeEqual(entry.hash, hash)) found = entry.caller;
    }
    return found;
  }

  return {
    applyConfig: (config) => {
      tokens = [operator, ...listTokens(config)];
    },
    findCaller,
  };
}
