/** Exhaustiveness checks of `switch` statements over unions. */

/** Marks the default of a `switch` over a union: the type check fails when a member has no case. */
export function assertNever(value: never): never {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`);
}
