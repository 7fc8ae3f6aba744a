import {randomUUID} from 'node:crypto';

import type {Epoch, ListenAddress} from '@vanillacross/common';
import {Metrics, createLogger, systemClock} from '@vanillacross/common';
import type {Instance, Settings} from '@vanillacross/domain';

import type {Context, Component} from './types.js';

/** A started daemon of either role. */
export interface RunningDaemon {
  /** Bound addresses by listener, as `ip:port`. */
  addresses: Record<string, string>;
  /** Stops all components; immediately if the signal is aborted. */
  stop(signal: AbortSignal): Promise<void>;
}

export function formatAddress(address: ListenAddress): string {
  return `${address.host}:${address.port}`;
}

/** Creates the context shared by all components of a process. */
export function createContext(settings: Settings, self: Instance): Context {
  const {id, role, domain} = settings.instance;
  return {
    self,
    epoch: randomUUID() as Epoch,
    clock: systemClock,
    logger: createLogger(role, settings.log.level, {instance: id, domain}),
    metrics: new Metrics(),
    clusterSecret: settings.cluster.secret,
  };
}

/** Starts components in the given order. */
export async function startComponents(
  parts: readonly Component[],
): Promise<void> {
  for (const part of parts) await part.start();
}

/** Stops components in the given order, continuing if one fails. */
export async function stopComponents(
  context: Context,
  parts: readonly Component[],
  signal: AbortSignal,
): Promise<void> {
  for (const part of parts) {
    try {
      await part.stop(signal);
    } catch (error) {
      const detail = (error as Error).message;
      context.logger.error(`stopping ${part.name} failed`, {detail});
    }
  }
}

/** Registers the process gauges common to all roles. */
export function registerProcessMetrics(context: Context): void {
  const {metrics} = context;
  metrics.gauge('vc_process_memory_bytes', () => process.memoryUsage.rss());
  metrics.gauge('vc_process_heap_bytes', () => process.memoryUsage().heapUsed);
  metrics.gauge('vc_process_cpu_ms', () => {
    const {user, system} = process.cpuUsage();
    return (user + system) / 1_000;
  });
}
