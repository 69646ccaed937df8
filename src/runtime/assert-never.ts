/** Exhaustiveness checks of `switch` statements over unions. */

/** Handles the default case of a `switch` over a union. The type check fails when a member has no case. */
export function assertNever(value: never): never {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`);
}
