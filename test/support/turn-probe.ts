/** Observes a value in each turn of the event loop. */
export class TurnProbe {
  /** The largest change of the value between two turns. */
  largestStep = 0;
  private last: number;
  private stopped = false;
  private condition: ((value: number) => boolean) | null = null;
  private action: () => void = () => {};

  constructor(private readonly read: () => number) {
    this.last = read();
    this.scheduleNext();
  }

  /** Calls the action once, between two turns, as soon as the value meets the condition. */
  when(condition: (value: number) => boolean, action: () => void): void {
    this.condition = condition;
    this.action = action;
  }

  stop(): void {
    this.stopped = true;
  }

  private scheduleNext(): void {
    setImmediate(() => {
      if (this.stopped) return;
      this.observe();
      this.scheduleNext();
    });
  }

  private observe(): void {
    const value = this.read();
    this.largestStep = Math.max(this.largestStep, Math.abs(value - this.last));
    if (this.condition?.(value)) {
      this.condition = null;
      this.action();
    }
    this.last = this.read();
  }
}
