import type {Clock, MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import type * as http from 'node:http';
import {setImmediate} from 'node:timers/promises';

/**
 * Time without a new connection after which the listener closes, ms. Closing it
 * resets the connections that wait to be accepted.
 */
const QUIET_MS = 300;
const POLL_INTERVAL_MS = 50;
/**
 * Time after the closing of the listener for which the requests of accepted
 * connections are waited for, ms.
 */
const ACCEPTED_CONNECTION_GRACE_MS = 1_500;

/** Closes the listener of a server so that no accepted connection is cut. */
export class ListenerShutdown {
  private openConnections = 0;
  private lastConnectionAt: MonotonicMs | null = null;
  /** Time until which connections without a request are waited for. */
  private graceEndsAt: MonotonicMs | null = null;

  constructor(
    private readonly server: http.Server,
    private readonly clock: Clock,
  ) {
    server.on('connection', socket => {
      this.openConnections++;
      this.lastConnectionAt = clock.now();
      socket.on('close', () => this.openConnections--);
    });
  }

  /**
   * Closes the listener once no new connections arrive, or at the deadline, and
   * the connections that are idle then.
   */
  async close(deadline: MonotonicMs): Promise<void> {
    const {clock, server} = this;
    while (clock.now() < deadline && !this.isQuiet()) {
      await clock.waitUntil(getDeadline(clock.now(), POLL_INTERVAL_MS));
    }
    // Connections that arrived before this turn of the event loop are accepted
    // in it, before an immediate runs.
    await setImmediate();
    server.close();
    server.closeIdleConnections();
    this.graceEndsAt = getDeadline(clock.now(), ACCEPTED_CONNECTION_GRACE_MS);
  }

  /** Whether a request may still arrive on a connection that was accepted. */
  mayRequestArrive(): boolean {
    if (this.openConnections === 0) return false;
    return this.graceEndsAt === null || this.clock.now() < this.graceEndsAt;
  }

  private isQuiet(): boolean {
    if (this.lastConnectionAt === null) return true;
    return this.clock.now() - this.lastConnectionAt >= QUIET_MS;
  }
}
