/** How the scheduler tells why it made a larger decision; the leader writes it to the process's log. */
export type DecisionLogger = (message: string, fields: Record<string, unknown>) => void;
