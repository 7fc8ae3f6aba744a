import {EXIT} from './constants.js';

/** Why a command did not do what was asked. */
export type CommandFailure =
  | {tag: 'usage'; message: string}
  | {tag: 'unreachable'; message: string}
  | {tag: 'refused'; message: string}
  | {tag: 'conflict'; message: string}
  | {tag: 'not_accepted'; message: string}
  | {tag: 'unknown'; message: string}
  | {tag: 'not_in_force'; message: string};

const exitStatuses: Record<CommandFailure['tag'], number> = {
  usage: EXIT.usage,
  unreachable: EXIT.failed,
  refused: EXIT.failed,
  conflict: EXIT.conflict,
  not_accepted: EXIT.notAccepted,
  unknown: EXIT.unknown,
  not_in_force: EXIT.notInForce,
};

/** The exit status that tells a script what happened. */
export function getExitStatus(failure: CommandFailure): number {
  return exitStatuses[failure.tag];
}
