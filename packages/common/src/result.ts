/** Outcome of an operation that can fail in expected ways. */
export type Result<Value, Failure> =
  {ok: true; value: Value} | {ok: false; error: Failure};

export function ok<Value>(value: Value): {ok: true; value: Value} {
  return {ok: true, value};
}

export function fail<Failure>(error: Failure): {ok: false; error: Failure} {
  return {ok: false, error};
}

/**
 * Throws if an invariant of the program is violated; never used for input
 * validation.
 */
export function assertInvariant(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) throw new Error(`invariant violated: ${message}`);
}
