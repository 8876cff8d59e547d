import { createHash, timingSafeEqual } from 'node:crypto';
import type { EffectiveConfig } from '@bergamotreach/config';

/** Who sent a request. */
export interface Caller {
  account: string;
  /** May change the configuration and see all accounts. */
  isOperator: boolean;
}

/** Name under which the operator token of the settings acts. */
export const settingsOperator = 'operator';

interface KnownToken {
  hash: Buffer;
  caller: Caller;
}

/** Finds the caller of a request from its bearer token. */
export interface Authenticator {
  applyConfig(config: EffectiveConfig): void;
  /** The caller, or `undefined` when the header holds no valid token. */
  findCaller(authorization: string | undefined): Caller | undefined;
}

const bearerPattern = /^Bearer ([!-~]{1,512})$/u;

function listTokens(config: EffectiveConfig): KnownToken[] {
  return Object.entries(config.accounts).flatMap(([account, { tokenHashes, isOperator }]) =>
    tokenHashes.map((hash) => ({
      hash: Buffer.from(hash, 'hex'),
      caller: { account, isOperator },
    })),
  );
}

/** Creates an authenticator that knows only the operator token until a configuration arrives. */
export function createAuthenticator(operatorTokenHash: string): Authenticator {
  const operator: KnownToken = {
    hash: Buffer.from(operatorTokenHash, 'hex'),
    caller: { account: settingsOperator, isOperator: true },
  };
  let tokens: KnownToken[] = [operator];

  // Compares with every token, so that the time does not tell which one came close.
  function findCaller(authorization: string | undefined): Caller | undefined {
    const token = bearerPattern.exec(authorization ?? '')?.[1];
    if (token === undefined) return undefined;
    const hash = createHash('sha256').update(token).digest();
    let found: Caller | undefined;
    for (const known of tokens) {
      if (timingSafeEqual(known.hash, hash)) found = known.caller;
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
