/**
 * The demand forecasts.
 *
 * Keys: `loads` with the first page, `loads/<page>` with further ones, from 1 on.
 * Written: by the leader, again and again. Read: by the next leader, on failover.
 * Absent: both, before a leader has written them; `holdS` in forecasts and `more`
 * in the first page that an earlier version wrote.
 * Versions: earlier ones write and read the first page alone. Fields that this
 * version does not know are kept in what is written anew.
 */

import type { DemandForecast } from '../model/demand-forecast.js';
import { isObject } from '../protocol/json-fields.js';
import { decodeJobSpec, encodeJobSpec, type StoredJobSpec } from './job-record.js';
import { mapIfObject, mergeIntoStoredForm, rememberStoredForm } from './stored-form.js';

/** What one task takes on average. */
export interface StoredResourceRequest {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** The demand forecast of one kind of work; the fields are those of `DemandForecast`, in its order. */
export interface StoredForecast {
  /** The last job of this kind. */
  spec: StoredJobSpec;
  mean: number;
  variance: number;
  shape: StoredResourceRequest;
  /** Earlier versions don't write it. */
  holdS?: number;
  gapMs: number | null;
  quietMs: number;
}

/** `loads`. Earlier versions write and read this page alone, without `more`. */
export interface StoredFirstPage {
  loads: StoredForecast[];
  /** Version of the newest job that is counted in the forecasts: later ones are counted by the next leader. */
  upTo: number;
  /** Number of further pages. */
  more?: number;
}

/** `loads/<page>`, from 1 on. */
export interface StoredFurtherPage {
  loads: StoredForecast[];
}

const RESOURCE_REQUEST_FIELDS: readonly (keyof StoredResourceRequest)[] = [
  'cpus',
  'gpus',
  'memoryGb',
];
const FORECAST_FIELDS: readonly (keyof StoredForecast)[] = [
  'spec',
  'mean',
  'variance',
  'shape',
  'holdS',
  'gapMs',
  'quietMs',
];

function encodeResourceRequest(shape: DemandForecast['meanRequest']): StoredResourceRequest {
  return mergeIntoStoredForm(shape, {
    cpus: shape.cpus,
    gpus: shape.gpus,
    memoryGb: shape.memoryGb,
  });
}

function decodeResourceRequest(stored: StoredResourceRequest): DemandForecast['meanRequest'] {
  const shape: DemandForecast['meanRequest'] = {
    cpus: stored.cpus,
    gpus: stored.gpus,
    memoryGb: stored.memoryGb,
  };
  rememberStoredForm(shape, stored, RESOURCE_REQUEST_FIELDS);
  return shape;
}

/** The forecast as it is stored, with fields of other versions that it was read with. */
export function encodeForecast(forecast: DemandForecast): StoredForecast {
  return mergeIntoStoredForm(forecast, {
    spec: mapIfObject(forecast.spec, encodeJobSpec),
    mean: forecast.mean,
    variance: forecast.variance,
    shape: mapIfObject(forecast.meanRequest, encodeResourceRequest),
    holdS: forecast.occupancyS,
    gapMs: forecast.arrivalIntervalMs,
    quietMs: forecast.sinceLastArrivalMs,
  });
}

/** Null: it is no object. A forecast of an earlier version has no `holdS`: its reader has to set `occupancyS`. */
export function decodeForecast(value: unknown): DemandForecast | null {
  if (!isObject(value)) return null;
  const stored = value as unknown as StoredForecast;
  const forecast: DemandForecast = {
    spec: mapIfObject(stored.spec, decodeJobSpec),
    mean: stored.mean,
    variance: stored.variance,
    meanRequest: mapIfObject(stored.shape, decodeResourceRequest),
    occupancyS: stored.holdS as number,
    arrivalIntervalMs: stored.gapMs,
    sinceLastArrivalMs: stored.quietMs,
  };
  rememberStoredForm(forecast, value, FORECAST_FIELDS);
  return forecast;
}

/** `upTo`: version of the newest job that is counted; `more`: number of further pages. */
export function encodeFirstPage(
  loads: StoredForecast[],
  upTo: number,
  more: number,
): StoredFirstPage {
  return { loads, upTo, more };
}

/** A page after the first. */
export function encodeFurtherPage(loads: StoredForecast[]): StoredFurtherPage {
  return { loads };
}

/** The forecasts of a page, the first or a further one; null: it is no page. */
export function decodeForecasts(value: unknown): DemandForecast[] | null {
  if (!isObject(value) || !Array.isArray(value.loads)) return null;
  return value.loads.map((load) => mapIfObject(load, decodeForecast));
}

/** The first page as it is used; the fields have the names of the stored ones. */
export interface FirstPage {
  loads: DemandForecast[];
  upTo: number;
  more: number;
}

/** Null: it is no page. A page of an earlier version has no further ones. */
export function decodeFirstPage(value: unknown): FirstPage | null {
  const forecasts = decodeForecasts(value);
  if (!forecasts) return null;
  const { upTo, more = 0 } = value as StoredFirstPage;
  return { loads: forecasts, upTo, more };
}
