/** Decides whether the next placement round has anything to look at. */

/** Set by whatever may let a task be placed, cleared by the round that looks for it. */
export class RoundTrigger {
  /** True from the start: a new term has looked at nothing yet. */
  due = true;

  /** Something happened that may let a task be placed. */
  request(): void {
    this.due = true;
  }
}
