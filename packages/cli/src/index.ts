/** The `vanillacross` command-line interface. */
export type {Terminal} from './program.js';
export {createProgram} from './program.js';
export {EXIT} from './constants.js';
