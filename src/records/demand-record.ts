/**
 * Demand forecasts, in pages.
 *
 * - Keys: `loads` holds the first page, `loads/<page>` the further pages, numbered from 1.
 * - Access: The leader writes them at regular intervals. The next leader reads them on
 *   failover.
 * - Absence: The keys are absent until a leader has written them. Earlier versions write
 *   neither `holdS` in a forecast nor `more` in the first page.
 * - Versions: Earlier versions read and write only the first page. Fields of a forecast
 *   that this version does not know are kept when the forecast is written again.
 */

import type { DemandForecast } from '../model/demand-forecast.js';
import { isObject } from '../protocol/json-fields.js';
import { decodeJobSpec, encodeJobSpec, type StoredJobSpec } from './job-record.js';
import { mapIfObject, mergeIntoRetainedForm, retainStoredForm } from './stored-form.js';

/** The stored form of `DemandForecast.meanRequest`, with the same fields and units. */
export interface StoredResourceRequest {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/**
 * The stored form of `DemandForecast`, with the fields in the same order and with the
 * same units.
 */
export interface StoredForecast {
  /** The job of this kind that arrived last. */
  spec: StoredJobSpec;
  mean: number;
  variance: number;
  /** Mean resource request of a task. */
  shape: StoredResourceRequest;
  /** `occupancyS`, in seconds. Absent when an earlier version wrote the forecast. */
  holdS?: number;
  /** `arrivalIntervalMs`, in milliseconds. Null while no interval is known. */
  gapMs: number | null;
  /** `sinceLastArrivalMs`, in milliseconds. */
  quietMs: number;
}

/** The value of `loads`. */
export interface StoredFirstPage {
  loads: StoredForecast[];
  /**
   * Version of the newest job that the forecasts count. The next leader adds the jobs
   * that arrived after it.
   */
  upTo: number;
  /** Number of further pages. Absent, which means 0, when an earlier version wrote the page. */
  more?: number;
}

/** The value of `loads/<page>`. */
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

function encodeResourceRequest(request: DemandForecast['meanRequest']): StoredResourceRequest {
  return mergeIntoRetainedForm(request, {
    cpus: request.cpus,
    gpus: request.gpus,
    memoryGb: request.memoryGb,
  });
}

function decodeResourceRequest(stored: StoredResourceRequest): DemandForecast['meanRequest'] {
  const request: DemandForecast['meanRequest'] = {
    cpus: stored.cpus,
    gpus: stored.gpus,
    memoryGb: stored.memoryGb,
  };
  retainStoredForm(request, stored, RESOURCE_REQUEST_FIELDS);
  return request;
}

/** Returns the stored form of a forecast, including the unknown fields that it was decoded with. */
export function encodeForecast(forecast: DemandForecast): StoredForecast {
  return mergeIntoRetainedForm(forecast, {
    spec: mapIfObject(forecast.spec, encodeJobSpec),
    mean: forecast.mean,
    variance: forecast.variance,
    shape: mapIfObject(forecast.meanRequest, encodeResourceRequest),
    holdS: forecast.occupancyS,
    gapMs: forecast.arrivalIntervalMs,
    quietMs: forecast.sinceLastArrivalMs,
  });
}

/**
 * Returns null when the value is not an object. A missing field is undefined in the
 * forecast. That includes `occupancyS` of a forecast that an earlier version wrote: the
 * caller has to set it.
 */
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
  retainStoredForm(forecast, value, FORECAST_FIELDS);
  return forecast;
}

/**
 * Returns the stored form of the first page. `countedVersion` is stored as `upTo`,
 * `furtherPages` as `more`.
 */
export function encodeFirstPage(
  forecasts: StoredForecast[],
  countedVersion: number,
  furtherPages: number,
): StoredFirstPage {
  return { loads: forecasts, upTo: countedVersion, more: furtherPages };
}

/** Returns the stored form of a page after the first. */
export function encodeFurtherPage(forecasts: StoredForecast[]): StoredFurtherPage {
  return { loads: forecasts };
}

/**
 * Returns the forecasts of any page. Returns null when the value is not an object with
 * a list `loads`. An item of the list that is not an object is returned unchanged.
 */
export function decodeForecasts(value: unknown): DemandForecast[] | null {
  if (!isObject(value) || !Array.isArray(value.loads)) return null;
  return value.loads.map((forecast) => mapIfObject(forecast, decodeForecast));
}

/** The first page with decoded forecasts. The fields have the names of the stored ones. */
export interface FirstPage {
  loads: DemandForecast[];
  /** Version of the newest job that the forecasts count. */
  upTo: number;
  /** Number of further pages, 0 or more. */
  more: number;
}

/**
 * Returns null when the value is not an object with a list `loads`. A page that an
 * earlier version wrote has no further pages.
 */
export function decodeFirstPage(value: unknown): FirstPage | null {
  const forecasts = decodeForecasts(value);
  if (!forecasts) return null;
  const { upTo, more = 0 } = value as StoredFirstPage;
  return { loads: forecasts, upTo, more };
}
