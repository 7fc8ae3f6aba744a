import type {Result} from '@vanillacross/common';

import type {CommandFailure} from './errors.js';
import type {OperatorClient} from './operatorClient.js';

/** Options that every command takes. */
export interface GlobalOptions {
  entry: string;
  token: string;
  operator: string;
  output: 'table' | 'json';
}

/** What a command prints: data for JSON and text for people. */
export interface CommandOutput {
  data: unknown;
  text: string;
  /** Exit status if it is not 0. */
  status?: number;
}

/** What a command may use. */
export interface CommandContext {
  options: GlobalOptions;
  client: OperatorClient;
  /** Shows or replaces a progress line on standard error. */
  showProgress(line: string): void;
}

export type CommandResult = Result<CommandOutput, CommandFailure>;

/** A configuration record as an entry shows it. */
export interface ConfigurationRecord {
  key: string;
  revision: number;
  offset: number;
  schemaVersion: number;
  body: unknown;
  operator: string;
}

/** A change that `apply` sends. */
export interface RecordChange {
  key: string;
  baseRevision: number;
  schemaVersion: number;
  /** The wanted body; null deletes the record. */
  body: unknown;
  /** The body that the change replaces; null if there is none. */
  previous: unknown;
}
