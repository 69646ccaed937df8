/** Tracks whether a placement round is due. */

/** Set by events that may allow a task to be placed, cleared by the placement round. */
export class RoundTrigger {
  /** Initially true, since a new term has not had a placement round. */
  due = true;

  /** Requests a placement round after an event that may allow a task to be placed. */
  request(): void {
    this.due = true;
  }
}
