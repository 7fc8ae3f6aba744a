import {EXIT} from './constants.js';

/** Reason why a command failed. */
export type CommandFailure =
  | {tag: 'usage'; message: string}
  | {tag: 'unreachable'; message: string}
  | {tag: 'refused'; message: string}
  | {tag: 'conflict'; message: string}
  | {tag: 'not_accepted'; message: string}
  | {tag: 'unknown'; message: string}
  | {tag: 'not_in_force'; message: string};

const EXIT_STATUSES: Record<CommandFailure['tag'], number> = {
  usage: EXIT.usage,
  unreachable: EXIT.failed,
  refused: EXIT.failed,
  conflict: EXIT.conflict,
  not_accepted: EXIT.notAccepted,
  unknown: EXIT.unknown,
  not_in_force: EXIT.notInForce,
};

/** Maps a failure to the exit status that scripts check. */
export function getExitStatus(failure: CommandFailure): number {
  return EXIT_STATUSES[failure.tag];
}
