import type { RosterEntry } from '../../model/machine.js';
import { encodeRosterEntry } from '../../records/roster-record.js';

interface Page {
  key: string;
  /** What its members take in its value. */
  bytes: number;
  /** 0: not written yet. Null: a write had no answer, so what stands there is not known. */
  version: number | null;
  members: Map<string, RosterEntry>;
  /** Holds machines that are gone. */
  stale: boolean;
  writing: boolean;
}

/** One write of a page: its new value, or its end. */
export interface PageWrite {
  key: string;
  /** What it is conditioned on; null: on nothing. */
  version: number | null;
  /** None: the page is to be removed. */
  entries: RosterEntry[];
  /** Machines that stand in the roster from this write on. */
  added: RosterEntry[];
  applied(revision: number): void;
  /** It was not applied and never will be. */
  dropped(): void;
  /** Whether it was or will be applied is not known. */
  unknown(): void;
}

/**
 * The durable list of machines that may have been given tasks, many to a key:
 * hundreds that boot at once cost few changes. A page is only ever rewritten
 * over the version that is known of it; once a write had no answer, a late
 * copy of it could undo a newer one, so the page is left alone until all of
 * its machines are gone, and those in doubt go to another page. A page that
 * was written under a higher limit on values is read as it stands; before it
 * is written anew, what is too much for it goes to other pages.
 */
export class Roster {
  private readonly pages = new Set<Page>();
  private readonly pagesOfMachine = new Map<string, Set<Page>>();
  /** Pages that may have room. One that is found without is left out until it loses a member. */
  private readonly pagesWithSpace = new Set<Page>();
  private pageCount = 0;

  constructor(
    private readonly term: number,
    /** The most that the members of a page may take. */
    private readonly pageBytes: number,
  ) {}

  /** A page as an earlier leader left it. */
  restore(key: string, version: number, entries: RosterEntry[]): void {
    const page = this.createPage(key, version);
    for (const entry of entries) this.addMember(page, entry);
  }

  removeMachine(id: string): void {
    for (const page of this.pagesOfMachine.get(id) ?? []) {
      this.removeMember(page, id);
      page.stale = true;
    }
    this.pagesOfMachine.delete(id);
  }

  /** Adds the machines to pages with room; each page is written once, whatever it gains and loses. */
  add(entries: RosterEntry[]): PageWrite[] {
    const gains = new Map<Page, RosterEntry[]>();
    for (const entry of entries) {
      const page = this.pageWithSpace(entryBytes(entry));
      this.addMember(page, entry);
      const gain = gains.get(page);
      if (gain) gain.push(entry);
      else gains.set(page, [entry]);
    }
    return [...gains].map(([page, gain]) => this.pageWrite(page, gain));
  }

  /** Up to `most` pages rid of what is gone. */
  rewriteStalePages(most: number): PageWrite[] {
    const out: PageWrite[] = [];
    for (const page of this.pages) {
      if (out.length + 1 > most) break;
      if (!page.stale || page.writing) continue;
      if (page.version === null && page.members.size > 0) continue;
      if (page.bytes > this.pageBytes) out.push(...this.splitOversizePage(page));
      else out.push(this.pageWrite(page, []));
    }
    return out;
  }

  /**
   * Moves what is too much for the page to others. Nobody is taken off it
   * before the other page is known to hold him; a machine that was moved
   * without an answer stands on both, which does no harm.
   */
  private splitOversizePage(page: Page): PageWrite[] {
    const surplus: RosterEntry[] = [];
    let bytes = page.bytes;
    for (const [id, e] of page.members) {
      if (bytes <= this.pageBytes) break;
      if (this.pagesOfMachine.get(id)?.size === 1) surplus.push(e);
      bytes -= entryBytes(e);
    }
    return this.add(surplus).map((write) => ({
      ...write,
      applied: (revision) => {
        write.applied(revision);
        for (const entry of write.added) this.forgetMember(page, entry.id);
      },
    }));
  }

  private pageWithSpace(bytes: number): Page {
    for (const page of this.pagesWithSpace) {
      const hasRoom = page.bytes + bytes <= this.pageBytes;
      if (!hasRoom || page.version === null) this.pagesWithSpace.delete(page);
      else if (!page.writing) return page;
    }
    return this.createPage(`${this.term}-${++this.pageCount}`, 0);
  }

  private removePage(page: Page): void {
    this.pages.delete(page);
    this.pagesWithSpace.delete(page);
  }

  private createPage(key: string, version: number): Page {
    const page: Page = {
      key,
      bytes: 0,
      version,
      members: new Map(),
      stale: false,
      writing: false,
    };
    this.pages.add(page);
    this.pagesWithSpace.add(page);
    return page;
  }

  private addMember(page: Page, entry: RosterEntry): void {
    this.removeMember(page, entry.id);
    page.members.set(entry.id, entry);
    page.bytes += entryBytes(entry);
    const on = this.pagesOfMachine.get(entry.id);
    if (on) on.add(page);
    else this.pagesOfMachine.set(entry.id, new Set([page]));
  }

  private forgetMember(page: Page, id: string): void {
    this.removeMember(page, id);
    const on = this.pagesOfMachine.get(id);
    if (on?.delete(page) && on.size === 0) this.pagesOfMachine.delete(id);
  }

  private removeMember(page: Page, id: string): void {
    const entry = page.members.get(id);
    if (!entry) return;
    page.members.delete(id);
    page.bytes -= entryBytes(entry);
    this.pagesWithSpace.add(page);
  }

  private pageWrite(page: Page, added: RosterEntry[]): PageWrite {
    page.stale = false;
    page.writing = true;
    const entries = [...page.members.values()];
    return {
      key: page.key,
      version: page.version,
      entries,
      added,
      applied: (revision) => {
        page.writing = false;
        page.version = revision;
        if (entries.length === 0 && page.members.size === 0) this.removePage(page);
      },
      dropped: () => {
        page.writing = false;
        page.stale = true;
        for (const entry of added) this.forgetMember(page, entry.id);
        if (page.version === 0 && page.members.size === 0) this.removePage(page);
      },
      unknown: () => {
        page.writing = false;
        page.stale = true;
        page.version = null;
      },
    };
  }
}

/** What an entry takes in a page's value, with the comma behind it. */
function entryBytes(entry: RosterEntry): number {
  return Buffer.byteLength(JSON.stringify(encodeRosterEntry(entry))) + 1;
}
