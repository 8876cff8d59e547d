import type { ServiceContact } from '@bergamotreach/hosting';
import type { Logger, Metrics } from '@bergamotreach/protocol';
import type { ConfigReplica } from './operatorrows.ts';

/** Options of a configuration watch. */
export interface ConfigWatchOptions {
  configs: Pick<ConfigReplica, 'find' | 'getAgeMs' | 'getOutageMs'>;
  storeContact: Pick<ServiceContact, 'getSilenceMs'>;
  /** Age beyond which the configuration in force counts as stale, in milliseconds. */
  maxAgeMs: number;
  logger: Logger;
  metrics: Metrics;
}

/** Reports the version of the configuration in force and its age. */
export interface ConfigWatch {
  /** Sets the gauges, and logs when the configuration becomes stale and when it is current again. */
  check(): void;
}

/** Creates a watch; the caller checks at regular intervals. */
export function createConfigWatch(options: ConfigWatchOptions): ConfigWatch {
  const { configs, storeContact, maxAgeMs, logger, metrics } = options;
  let isStale = false;

  return {
    check() {
      const version = configs.find()?.version;
      if (version === undefined) return;
      const ageMs = Math.round(configs.getAgeMs());
      metrics.setGauge('config.version', version);
      metrics.setGauge('config.age', ageMs);
      if (ageMs > maxAgeMs === isStale) return;
      isStale = !isStale;
      if (isStale) {
        const outageMs = Math.round(configs.getOutageMs());
        const storeSilenceMs = Math.round(storeContact.getSilenceMs());
        logger.warn('config_stale', { version, ageMs, maxAgeMs, outageMs, storeSilenceMs });
      } else logger.info('config_current', { version, ageMs });
    },
  };
}
