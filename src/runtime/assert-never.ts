/** Exhaustiveness checks of `switch` statements over unions. */

/** Ends a `switch` whose cases cover the whole union: a member without a case fails the type check. */
export function assertNever(value: never): never {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`);
}
