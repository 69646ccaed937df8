import type { DemandForecast } from '../model/demand-forecast.js';
import { isObject } from '../protocol/json-fields.js';
import { decodeJobSpec, encodeJobSpec, type StoredJobSpec } from './job-record.js';
import { mapObject, overForm, rememberForm } from './stored-form.js';

/**
 * What work is expected: `loads` with the first page and `loads/<page>` with
 * further ones. The leader writes them again and again, the next leader reads
 * them. Fields that this version does not know go on in what is written anew.
 */

/** What one task takes on average. */
export interface StoredResourceRequest {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** What is expected of one kind of work. */
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
  /** The version of the newest job that is counted in it. */
  upTo: number;
  /** Further pages. */
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
  return overForm(shape, { cpus: shape.cpus, gpus: shape.gpus, memoryGb: shape.memoryGb });
}

function decodeResourceRequest(stored: StoredResourceRequest): DemandForecast['meanRequest'] {
  const shape: DemandForecast['meanRequest'] = {
    cpus: stored.cpus,
    gpus: stored.gpus,
    memoryGb: stored.memoryGb,
  };
  rememberForm(shape, stored, RESOURCE_REQUEST_FIELDS);
  return shape;
}

export function encodeForecast(forecast: DemandForecast): StoredForecast {
  return overForm(forecast, {
    spec: mapObject(forecast.spec, encodeJobSpec),
    mean: forecast.mean,
    variance: forecast.variance,
    shape: mapObject(forecast.meanRequest, encodeResourceRequest),
    holdS: forecast.occupancyS,
    gapMs: forecast.arrivalIntervalMs,
    quietMs: forecast.sinceLastArrivalMs,
  });
}

/** Null: it is no object. A load of an earlier version has no `holdS`, which its reader has to give it. */
export function decodeForecast(value: unknown): DemandForecast | null {
  if (!isObject(value)) return null;
  const stored = value as unknown as StoredForecast;
  const forecast: DemandForecast = {
    spec: mapObject(stored.spec, decodeJobSpec),
    mean: stored.mean,
    variance: stored.variance,
    meanRequest: mapObject(stored.shape, decodeResourceRequest),
    occupancyS: stored.holdS as number,
    arrivalIntervalMs: stored.gapMs,
    sinceLastArrivalMs: stored.quietMs,
  };
  rememberForm(forecast, value, FORECAST_FIELDS);
  return forecast;
}

export function encodeFirstPage(
  loads: StoredForecast[],
  upTo: number,
  more: number,
): StoredFirstPage {
  return { loads, upTo, more };
}

export function encodeFurtherPage(loads: StoredForecast[]): StoredFurtherPage {
  return { loads };
}

/** The loads of a page; null: it is none. */
export function decodeForecasts(value: unknown): DemandForecast[] | null {
  if (!isObject(value) || !Array.isArray(value.loads)) return null;
  return value.loads.map((load) => mapObject(load, decodeForecast));
}

/** The first page: its loads, what is counted in them and how many further pages there are; null: it is none. */
export function decodeFirstPage(
  value: unknown,
): { loads: DemandForecast[]; upTo: number; more: number } | null {
  const forecasts = decodeForecasts(value);
  if (!forecasts) return null;
  const { upTo, more = 0 } = value as StoredFirstPage;
  return { loads: forecasts, upTo, more };
}
