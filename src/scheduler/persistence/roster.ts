/** The durable roster: a paged list of the machines that may have been assigned tasks. */

import type { RosterEntry } from '../../model/machine.js';
import { entryBytes, RosterPage } from './roster-page.js';

/** Callbacks for the outcome of a page write. At most one of them is called, and only once. */
export interface PageWriteOutcome {
  /** The page is stored as written, at this revision. */
  applied(revision: number): void;
  /** The write was not applied and never will be, so the entries that it adds are not on the page. */
  notApplied(): void;
  /** It is unknown whether the write was or will be applied; the page takes no more machines. */
  outcomeUnknown(): void;
}

/** A write of a page: its new value, or its deletion. */
export interface PageWrite extends PageWriteOutcome {
  readonly keySuffix: string;
  /** The version that the write is conditioned on; 0 if the key must not exist, null for no condition. */
  readonly version: number | null;
  /** All machines of the page; if empty, the page is deleted. */
  readonly entries: RosterEntry[];
  /** The entries that this write adds to the page. */
  readonly added: RosterEntry[];
}

/**
 * The durable list of machines that may have been assigned tasks. A page stores
 * many machines under one key, so that hundreds of machines that boot at once
 * cost few changes.
 *
 * A page is rewritten only over its known version, by one write at a time. After
 * a write without a response, a late copy of it could undo a newer write. The
 * page is therefore not written again until all of its machines have been
 * terminated, and the machines that the write was to add go to another page.
 *
 * A page that was written under a higher limit on values is read as it is. Before
 * it is written again, its excess entries are moved to other pages.
 */
export class Roster {
  private readonly pages = new Set<RosterPage>();
  /** By machine id, the pages that the machine is on or may be on. */
  private readonly pagesOfMachine = new Map<string, Set<RosterPage>>();
  /** Pages that may have space. A page that lacked space is left out until a machine is removed from it. */
  private readonly pagesWithSpace = new Set<RosterPage>();
  /** Number of pages created in this term. */
  private createdPageCount = 0;

  constructor(
    /** The leader's term, which makes the keys of new pages unique. */
    private readonly term: number,
    /** Maximum size of the entries of a page, in bytes. */
    private readonly maxPageBytes: number,
  ) {}

  /** Restores a page that an earlier leader wrote. */
  restore(keySuffix: string, version: number, entries: RosterEntry[]): void {
    const page = this.createPage(keySuffix, version);
    for (const entry of entries) this.addToPage(page, entry);
  }

  /** Removes a terminated machine. Its pages are rewritten without it when the budget allows. */
  removeMachine(id: string): void {
    for (const page of this.pagesOfMachine.get(id) ?? []) {
      this.dropEntry(page, id);
      page.unsaved = true;
    }
    this.pagesOfMachine.delete(id);
  }

  /** Adds the machines to pages with space. Each page is written once, with all additions and removals. */
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
   * Returns writes of pages that hold terminated machines or whose last write was
   * not applied: at most `budget` writes, except that the pages that take the
   * excess entries of an oversized page may go beyond it.
   */
  rewriteUnsavedPages(budget: number): PageWrite[] {
    const writes: PageWrite[] = [];
    for (const page of this.pages) {
      if (writes.length + 1 > budget) break;
      if (!page.unsaved || page.writing) continue;
      if (page.version === null && page.entries.size > 0) continue;
      if (page.bytes > this.maxPageBytes) writes.push(...this.moveExcessEntries(page));
      else writes.push(this.startWrite(page, []));
    }
    return writes;
  }

  /**
   * Moves the entries that exceed the page's limit to other pages. A machine is
   * removed from the page only once another page is known to hold it. A machine
   * whose move received no response is on both pages, which is harmless.
   */
  private moveExcessEntries(page: RosterPage): PageWrite[] {
    return this.add(this.excessEntries(page)).map((write) => ({
      ...write,
      applied: (revision) => {
        write.applied(revision);
        for (const entry of write.added) this.removeFromPage(page, entry.id);
      },
    }));
  }

  /** Returns the first entries, until the rest fits, except those that are already on another page. */
  private excessEntries(page: RosterPage): RosterEntry[] {
    const excess: RosterEntry[] = [];
    let bytes = page.bytes;
    for (const [id, entry] of page.entries) {
      if (bytes <= this.maxPageBytes) break;
      if (this.pagesOfMachine.get(id)?.size === 1) excess.push(entry);
      bytes -= entryBytes(entry);
    }
    return excess;
  }

  private pageWithSpace(bytes: number): RosterPage {
    for (const page of this.pagesWithSpace) {
      const fits = page.bytes + bytes <= this.maxPageBytes;
      if (!fits || page.version === null) this.pagesWithSpace.delete(page);
      else if (!page.writing) return page;
    }
    return this.createPage(`${this.term}-${++this.createdPageCount}`, 0);
  }

  private createPage(keySuffix: string, version: number): RosterPage {
    const page = new RosterPage(keySuffix, version);
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

  /** Starts a write of the page as it is now. No other one starts before its outcome is known. */
  private startWrite(page: RosterPage, added: RosterEntry[]): PageWrite {
    page.unsaved = false;
    page.writing = true;
    const entries = [...page.entries.values()];
    return {
      keySuffix: page.keySuffix,
      version: page.version,
      entries,
      added,
      applied: (revision) => this.writeApplied(page, entries, revision),
      notApplied: () => this.writeNotApplied(page, added),
      outcomeUnknown: () => this.writeOutcomeUnknown(page),
    };
  }

  private writeApplied(page: RosterPage, written: RosterEntry[], revision: number): void {
    page.writing = false;
    page.version = revision;
    if (written.length === 0 && page.entries.size === 0) this.deletePage(page);
  }

  private writeNotApplied(page: RosterPage, added: RosterEntry[]): void {
    page.writing = false;
    page.unsaved = true;
    for (const entry of added) this.removeFromPage(page, entry.id);
    if (page.version === 0 && page.entries.size === 0) this.deletePage(page);
  }

  private writeOutcomeUnknown(page: RosterPage): void {
    page.writing = false;
    page.unsaved = true;
    page.version = null;
  }
}
