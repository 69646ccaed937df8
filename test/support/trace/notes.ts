/** Counts of what has happened, by its name. */
export class Notes {
  readonly counts = new Map<string, number>();

  add(name: string, times = 1): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + times);
  }

  /** What the text of a trace shows. */
  addTrace(text: string): void {
    for (const [name, pattern] of SHOWN) this.add(name, [...text.matchAll(pattern)].length);
  }
}

/** What a trace shows of itself: names and the wire's words for them. */
const SHOWN: [name: string, pattern: RegExp][] = [
  ['orders to start', /"verb":"run"/g],
  ['orders to stop', /"verb":"kill"/g],
  ['orders to forget', /"verb":"forget"/g],
  ['direct commands', / POST \/do /g],
  ['reports answered', / 200 \{"baton"/g],
  ['redirections', / 421 \{"steward"/g],
  ['rentals', / POST \/machines \{/g],
  ['returns', / POST \/machines\/return /g],
  ['machine lists', / GET \/machines\?/g],
  ['terms', /"set":"term"/g],
  ['submissions accepted', / 201 \{"id"/g],
  ['submissions repeated', / 200 \{"id":"req-\d+","standing":"\w+"\}/g],
  ['refusals of submissions', / 4(00|22) \{"error"/g],
  ['unavailable', / 503 Retry-After/g],
  ['jobs done', /"set":"over\/[^"]+","v":\{"state":"done"/g],
  ['jobs cancelled', /"set":"over\/[^"]+","v":\{"state":"cancelled"/g],
  ['roster writes', /"set":"roster\//g],
  ['bitmap writes', /"set":"bits\//g],
  ['upstream pages', /"set":"upstream\//g],
  ['relayed reports', /"op":"report"/g],
  ['relayed users', /"op":"user"/g],
  ['announced cancellations', /"op":"cancelled"/g],
  ['mailed reports', /"set":"mail\/[^"]+","v":\{"kind":"ask"/g],
  ['mailed answers', /"set":"mail\/[^"]+","v":\{"kind":"answer"/g],
  ['lease renewals', / POST \/grants\/\d+\/touch/g],
];
