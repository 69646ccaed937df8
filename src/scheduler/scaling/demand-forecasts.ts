/** Demand forecasts by kind of work, learned from job arrivals. */
import type { DemandForecast } from '../../model/demand-forecast.js';
import type { JobSpec } from '../../model/job.js';
import type { ClusterState } from '../state/cluster-state.js';
import { longestBootS } from './boot-time.js';
import { occupancyS, weightedMean, workKindKey } from './work-kinds.js';

/**
 * After this many mean arrival intervals without an arrival, a kind of work may
 * have stopped arriving. Random arrivals show such a gap once in twelve times.
 * After twice as many intervals the kind counts as stopped.
 */
const STALE_ARRIVAL_INTERVALS = 2.5;
/**
 * A kind of work is not considered stopped before this share of the longest boot
 * time, however short its arrival interval. Shorter gaps are common, and capacity
 * that is given up during one takes a whole boot to replace.
 */
const STALE_ARRIVAL_BOOTS = 0.5;
/** Weights of the previous mean interval and of the latest interval in the new mean. */
const PAST_INTERVAL_WEIGHT = 0.9;
const LATEST_INTERVAL_WEIGHT = 0.1;
/** Avoids a division by zero when nothing has arrived. */
const MIN_WEIGHT = 1e-9;
/** A forecast of fewer concurrent tasks than this is dropped. */
const NEGLIGIBLE_MEAN = 1e-3;

/**
 * Holds the forecasts of this leader term. Each mean is exponentially smoothed:
 * every arrival adds to it, and `decay` reduces the weight of past arrivals.
 */
export class DemandForecasts {
  private byKind = new Map<string, DemandForecast>();
  private lastDecayAt: number | null = null;

  constructor(private readonly cluster: ClusterState) {}

  /** Adds the work of an arrived job to the forecast of its kind. */
  recordArrival(spec: JobSpec): void {
    const kind = workKindKey(spec);
    const forecast = this.byKind.get(kind) ?? this.initialForecast(spec);
    recordArrivalInterval(forecast);
    const occupancy = occupancyS(this.cluster, spec);
    const smoothingPeriods = occupancy / this.smoothingS();
    const addedMean = spec.tasks * smoothingPeriods;
    forecast.spec = spec;
    forecast.meanRequest = weightedMean(forecast.meanRequest, forecast.mean, spec, addedMean);
    const addedShare = addedMean / Math.max(MIN_WEIGHT, forecast.mean + addedMean);
    forecast.occupancyS += (occupancy - forecast.occupancyS) * addedShare;
    forecast.mean += addedMean;
    forecast.variance += spec.tasks * spec.tasks * smoothingPeriods;
    this.byKind.set(kind, forecast);
  }

  /** Decays the forecasts by the time since the last call. Drops negligible ones. */
  decay(now: number): void {
    const sinceMs = this.lastDecayAt === null ? 0 : now - this.lastDecayAt;
    this.lastDecayAt = now;
    const decayFactor = Math.exp(-sinceMs / (this.smoothingS() * 1000));
    for (const [kind, forecast] of this.byKind) {
      forecast.sinceLastArrivalMs += sinceMs;
      forecast.mean *= decayFactor;
      forecast.variance *= decayFactor;
      if (forecast.mean < NEGLIGIBLE_MEAN) this.byKind.delete(kind);
    }
  }

  /** Returns the kinds of work that have a forecast. */
  kinds(): IterableIterator<string> {
    return this.byKind.keys();
  }

  /** Returns the forecast for a kind of work, undefined if there is none. */
  get(kind: string): DemandForecast | undefined {
    return this.byKind.get(kind);
  }

  /**
   * Returns a weight from 1 to 0 that falls as it becomes unlikely that jobs of the
   * kind still arrive. When the time without an arrival far exceeds the mean
   * interval, the kind has stopped arriving, and no machines are kept for it.
   */
  activeProbability(forecast: DemandForecast): number {
    if (forecast.arrivalIntervalMs === null) return 1;
    const bootMs = longestBootS(this.cluster.machineTypes) * 1000;
    const staleIntervalMs = forecast.arrivalIntervalMs * STALE_ARRIVAL_INTERVALS;
    const staleAfterMs = Math.max(staleIntervalMs, bootMs * STALE_ARRIVAL_BOOTS);
    const stoppedAfterMs = Math.max(staleIntervalMs * 2, bootMs);
    return Math.min(
      1,
      Math.max(0, (stoppedAfterMs - forecast.sinceLastArrivalMs) / (stoppedAfterMs - staleAfterMs)),
    );
  }

  /** Returns all forecasts. They are stored in the state service, so that a failover keeps them. */
  snapshot(): DemandForecast[] {
    return [...this.byKind.values()];
  }

  /** Replaces all forecasts with those of an earlier leader. */
  restore(forecasts: DemandForecast[]): void {
    // Earlier versions did not store the occupancy.
    for (const forecast of forecasts)
      forecast.occupancyS ??= occupancyS(this.cluster, forecast.spec);
    this.byKind = new Map(forecasts.map((forecast) => [workKindKey(forecast.spec), forecast]));
  }

  private initialForecast(spec: JobSpec): DemandForecast {
    return {
      spec,
      mean: 0,
      variance: 0,
      meanRequest: spec,
      occupancyS: occupancyS(this.cluster, spec),
      arrivalIntervalMs: null,
      // Half of the smoothing time.
      sinceLastArrivalMs: this.smoothingS() * 500,
    };
  }

  /** Returns the time over which arrivals are averaged, in seconds. */
  private smoothingS(): number {
    return longestBootS(this.cluster.machineTypes) * this.cluster.policy.smoothingBoots;
  }
}

function recordArrivalInterval(forecast: DemandForecast): void {
  forecast.arrivalIntervalMs =
    forecast.arrivalIntervalMs === null
      ? forecast.sinceLastArrivalMs
      : forecast.arrivalIntervalMs * PAST_INTERVAL_WEIGHT +
        forecast.sinceLastArrivalMs * LATEST_INTERVAL_WEIGHT;
  forecast.sinceLastArrivalMs = 0;
}
