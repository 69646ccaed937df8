import { isObject } from '../protocol/wire.js';
import type { Load } from '../scheduler/scaling/scale-out.js';
import { decodeJobSpec, encodeJobSpec, type StoredJobSpec } from './job-record.js';
import { mapObject, overForm, rememberForm } from './stored-form.js';

/**
 * What work is expected: `loads` with the first page and `loads/<page>` with
 * further ones. The leader writes them again and again, the next leader reads
 * them. Fields that this version does not know go on in what is written anew.
 */

/** What one task takes on average. */
export interface StoredTaskShape {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** What is expected of one kind of work. */
export interface StoredLoad {
  /** The last job of this kind. */
  spec: StoredJobSpec;
  mean: number;
  variance: number;
  shape: StoredTaskShape;
  /** Earlier versions don't write it. */
  holdS?: number;
  gapMs: number | null;
  quietMs: number;
}

/** `loads`. Earlier versions write and read this page alone, without `more`. */
export interface StoredFirstPage {
  loads: StoredLoad[];
  /** The version of the newest job that is counted in it. */
  upTo: number;
  /** Further pages. */
  more?: number;
}

/** `loads/<page>`, from 1 on. */
export interface StoredFurtherPage {
  loads: StoredLoad[];
}

const SHAPE_FIELDS: readonly (keyof StoredTaskShape)[] = ['cpus', 'gpus', 'memoryGb'];
const LOAD_FIELDS: readonly (keyof StoredLoad)[] = [
  'spec',
  'mean',
  'variance',
  'shape',
  'holdS',
  'gapMs',
  'quietMs',
];

function encodeShape(shape: Load['shape']): StoredTaskShape {
  return overForm(shape, { cpus: shape.cpus, gpus: shape.gpus, memoryGb: shape.memoryGb });
}

function decodeShape(stored: StoredTaskShape): Load['shape'] {
  const shape: Load['shape'] = {
    cpus: stored.cpus,
    gpus: stored.gpus,
    memoryGb: stored.memoryGb,
  };
  rememberForm(shape, stored, SHAPE_FIELDS);
  return shape;
}

export function encodeLoad(load: Load): StoredLoad {
  return overForm(load, {
    spec: mapObject(load.spec, encodeJobSpec),
    mean: load.mean,
    variance: load.variance,
    shape: mapObject(load.shape, encodeShape),
    holdS: load.holdS,
    gapMs: load.gapMs,
    quietMs: load.quietMs,
  });
}

/** Null: it is no object. A load of an earlier version has no `holdS`, which its reader has to give it. */
export function decodeLoad(value: unknown): Load | null {
  if (!isObject(value)) return null;
  const stored = value as unknown as StoredLoad;
  const load: Load = {
    spec: mapObject(stored.spec, decodeJobSpec),
    mean: stored.mean,
    variance: stored.variance,
    shape: mapObject(stored.shape, decodeShape),
    holdS: stored.holdS as number,
    gapMs: stored.gapMs,
    quietMs: stored.quietMs,
  };
  rememberForm(load, value, LOAD_FIELDS);
  return load;
}

export function encodeFirstPage(loads: StoredLoad[], upTo: number, more: number): StoredFirstPage {
  return { loads, upTo, more };
}

export function encodeFurtherPage(loads: StoredLoad[]): StoredFurtherPage {
  return { loads };
}

/** The loads of a page; null: it is none. */
export function decodeLoads(value: unknown): Load[] | null {
  if (!isObject(value) || !Array.isArray(value.loads)) return null;
  return value.loads.map((load) => mapObject(load, decodeLoad));
}

/** The first page: its loads, what is counted in them and how many further pages there are; null: it is none. */
export function decodeFirstPage(
  value: unknown,
): { loads: Load[]; upTo: number; more: number } | null {
  const loads = decodeLoads(value);
  if (!loads) return null;
  const { upTo, more = 0 } = value as StoredFirstPage;
  return { loads, upTo, more };
}
