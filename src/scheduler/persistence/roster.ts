/** The durable list of machines that may have been given tasks, in pages. */

import type { RosterEntry } from '../../model/machine.js';
import { entryBytes, RosterPage } from './roster-page.js';

/** What became of one write of a page: one of these is called at most, once. */
export interface PageWriteOutcome {
  /** The page is stored as written, at this revision. */
  applied(revision: number): void;
  /** It was not applied and never will be: what it was to add is not on the page. */
  notApplied(): void;
  /** Whether it was or will be applied is not known: the page takes no more machines. */
  outcomeUnknown(): void;
}

/** One write of a page: its new value, or its deletion. */
export interface PageWrite extends PageWriteOutcome {
  readonly key: string;
  /** The version that the write is conditioned on; 0: the key does not exist; null: no condition. */
  readonly version: number | null;
  /** All machines of the page; none: the page is to be deleted. */
  readonly entries: RosterEntry[];
  /** Those of them that are in the roster from this write on. */
  readonly added: RosterEntry[];
}

/**
 * The durable list of machines that may have been given tasks, many to a key,
 * so that hundreds that boot at once cost few changes.
 *
 * A page is only ever rewritten over the version that is known of it, by one
 * write at a time. Once a write had no answer, a late copy of it could undo a
 * newer one, so the page is left alone until all of its machines have been
 * terminated, and those that the write was to add go to another page. A page
 * that was written under a higher limit on values is read as it is; before it
 * is written again, the excess goes to other pages.
 */
export class Roster {
  private readonly pages = new Set<RosterPage>();
  /** By machine: the pages that it is on, or may be on. */
  private readonly pagesOfMachine = new Map<string, Set<RosterPage>>();
  /** Pages that may have space. One that is found without is left out until it loses a machine. */
  private readonly pagesWithSpace = new Set<RosterPage>();
  /** Pages that were created in this term. */
  private pageCount = 0;

  constructor(
    /** The leader's term: it makes the names of new pages unique. */
    private readonly term: number,
    /** Limit on the bytes that the entries of a page may take. */
    private readonly pageBytes: number,
  ) {}

  /** A page as an earlier leader left it. */
  restore(key: string, version: number, entries: RosterEntry[]): void {
    const page = this.createPage(key, version);
    for (const entry of entries) this.addToPage(page, entry);
  }

  /** The machine has been terminated: its pages will be written without it when there is budget for that. */
  removeMachine(id: string): void {
    for (const page of this.pagesOfMachine.get(id) ?? []) {
      this.dropEntry(page, id);
      page.stale = true;
    }
    this.pagesOfMachine.delete(id);
  }

  /** Adds the machines to pages with space; each page is written once, with all that it gains and loses. */
  add(entries: RosterEntry[]): PageWrite[] {
    const addedByPage = new Map<RosterPage, RosterEntry[]>();
    for (const entry of entries) {
      const page = this.pageWithSpace(entryBytes(entry));
      this.addToPage(page, entry);
      const added = addedByPage.get(page);
      if (added) added.push(entry);
      else addedByPage.set(page, [entry]);
    }
    return [...addedByPage].map(([page, added]) => this.startWrite(page, added));
  }

  /**
   * Writes of pages that hold terminated machines, or whose last write was not
   * applied: `budget` pages at most, and the pages that take the excess of an
   * oversize one besides.
   */
  rewriteStalePages(budget: number): PageWrite[] {
    const writes: PageWrite[] = [];
    for (const page of this.pages) {
      if (writes.length + 1 > budget) break;
      if (!page.stale || page.writing) continue;
      if (page.version === null && page.entries.size > 0) continue;
      if (page.bytes > this.pageBytes) writes.push(...this.moveExcess(page));
      else writes.push(this.startWrite(page, []));
    }
    return writes;
  }

  /**
   * Moves what exceeds the page's limit to others. No machine is taken off the
   * page before the other one is known to hold it; a machine whose move had no
   * answer is on both, which does no harm.
   */
  private moveExcess(page: RosterPage): PageWrite[] {
    return this.add(this.excessEntries(page)).map((write) => ({
      ...write,
      applied: (revision) => {
        write.applied(revision);
        for (const entry of write.added) this.removeFromPage(page, entry.id);
      },
    }));
  }

  /** The first entries, until the rest fits, without those that are on another page already. */
  private excessEntries(page: RosterPage): RosterEntry[] {
    const excess: RosterEntry[] = [];
    let bytes = page.bytes;
    for (const [id, entry] of page.entries) {
      if (bytes <= this.pageBytes) break;
      if (this.pagesOfMachine.get(id)?.size === 1) excess.push(entry);
      bytes -= entryBytes(entry);
    }
    return excess;
  }

  private pageWithSpace(bytes: number): RosterPage {
    for (const page of this.pagesWithSpace) {
      const fits = page.bytes + bytes <= this.pageBytes;
      if (!fits || page.version === null) this.pagesWithSpace.delete(page);
      else if (!page.writing) return page;
    }
    return this.createPage(`${this.term}-${++this.pageCount}`, 0);
  }

  private createPage(key: string, version: number): RosterPage {
    const page = new RosterPage(key, version);
    this.pages.add(page);
    this.pagesWithSpace.add(page);
    return page;
  }

  private deletePage(page: RosterPage): void {
    this.pages.delete(page);
    this.pagesWithSpace.delete(page);
  }

  private addToPage(page: RosterPage, entry: RosterEntry): void {
    this.dropEntry(page, entry.id);
    page.add(entry);
    const pages = this.pagesOfMachine.get(entry.id);
    if (pages) pages.add(page);
    else this.pagesOfMachine.set(entry.id, new Set([page]));
  }

  private removeFromPage(page: RosterPage, id: string): void {
    this.dropEntry(page, id);
    const pages = this.pagesOfMachine.get(id);
    if (pages?.delete(page) && pages.size === 0) this.pagesOfMachine.delete(id);
  }

  private dropEntry(page: RosterPage, id: string): void {
    if (page.remove(id)) this.pagesWithSpace.add(page);
  }

  /** A write of the page as it is now; no other begins before its outcome is known. */
  private startWrite(page: RosterPage, added: RosterEntry[]): PageWrite {
    page.stale = false;
    page.writing = true;
    const entries = [...page.entries.values()];
    return {
      key: page.key,
      version: page.version,
      entries,
      added,
      applied: (revision) => this.writeApplied(page, entries, revision),
      notApplied: () => this.writeNotApplied(page, added),
      outcomeUnknown: () => this.writeUnknown(page),
    };
  }

  private writeApplied(page: RosterPage, written: RosterEntry[], revision: number): void {
    page.writing = false;
    page.version = revision;
    if (written.length === 0 && page.entries.size === 0) this.deletePage(page);
  }

  private writeNotApplied(page: RosterPage, added: RosterEntry[]): void {
    page.writing = false;
    page.stale = true;
    for (const entry of added) this.removeFromPage(page, entry.id);
    if (page.version === 0 && page.entries.size === 0) this.deletePage(page);
  }

  private writeUnknown(page: RosterPage): void {
    page.writing = false;
    page.stale = true;
    page.version = null;
  }
}
