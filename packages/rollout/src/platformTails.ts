import type {Clock, Logger, Metrics} from '@vanillacross/common';

import type {ConfigurationState} from './configuration/index.js';
import type {StoreHealth} from './log/index.js';
import {KeyedTail} from './log/index.js';
import type {KeyedRecord, RecordDialect, SharedLog} from './model/index.js';
import type {UpstreamDirectory} from './upstreams/index.js';

/** Long-poll times of reads, ms. */
const CONFIGURATION_LONG_POLL_MS = 800;
const UPSTREAM_LONG_POLL_MS = 800;
/** Minimum interval between reads of the instance list, ms. */
const MIN_UPSTREAM_READ_INTERVAL_MS = 200;

export interface PlatformTailsOptions {
  log: SharedLog;
  records: RecordDialect;
  configuration: ConfigurationState;
  directory: UpstreamDirectory;
  health: StoreHealth;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/** Tails of the operator's records and the instance list. */
export interface PlatformTails {
  operator: KeyedTail;
  upstreams: KeyedTail;
}

/** Creates tails that update the configuration and the upstream directory. */
export function createPlatformTails(
  options: PlatformTailsOptions,
): PlatformTails {
  const {log, records, configuration, directory, clock, health, metrics} =
    options;
  const logger = options.logger.child('log');
  const shared = {log, clock, logger, metrics, health};
  return {
    operator: new KeyedTail({
      ...shared,
      stream: records.operatorStream,
      waitMs: CONFIGURATION_LONG_POLL_MS,
      pauseMs: 0,
      onRecord: record => applyOperatorRecord(options, record),
      onConfirmed: (at, offsetMs) => configuration.confirm(at, offsetMs),
    }),
    upstreams: new KeyedTail({
      ...shared,
      stream: records.upstreamStream,
      waitMs: UPSTREAM_LONG_POLL_MS,
      pauseMs: MIN_UPSTREAM_READ_INTERVAL_MS,
      onRecord: record => directory.apply(record),
    }),
  };
}

function applyOperatorRecord(
  options: PlatformTailsOptions,
  {key, value, offset}: KeyedRecord,
): void {
  const {records, configuration, directory, logger} = options;
  const record = records.readOperatorRecord(key, value);
  switch (record.tag) {
    case 'configuration':
      return configuration.apply(record.configuration);
    case 'evacuation':
      return directory.setEvacuated(record.domain, record.isActive);
    case 'weights':
      return configuration.applyAnnouncedVersion(record.model, record.version);
    case 'ignored':
      logger.child('configuration').warn('ignored operator record', {
        key,
        offset,
        reason: record.reason,
      });
  }
}
