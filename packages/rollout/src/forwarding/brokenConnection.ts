import type {Upstream} from '../upstreams/index.js';
import type {ForwardContext} from './types.js';

/**
 * Counts a connection that broke during a request as a possible crash of the
 * upstream by that request. One that is leaving, or was taken out, ends for
 * reasons of its own: counted, its replacement would quarantine sound requests.
 *
 * @param fingerprint Fingerprint of the request.
 */
export function reportBrokenConnection(
  context: ForwardContext,
  fingerprint: string,
  upstream: Upstream,
): void {
  const {crashes, directory, logger, metrics} = context;
  const exclusion = directory.getExclusion(upstream);
  const outcome = exclusion ?? 'counted';
  metrics.count('vc_broken_connections', {outcome});
  logger.info('connection broke during a request', {
    fingerprint,
    upstream: upstream.id,
    outcome,
  });
  if (exclusion === null) crashes.reportCrash(fingerprint, upstream.id);
}
