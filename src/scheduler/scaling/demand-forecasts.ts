/** Forecasts of the demand by kind of work, learned from arrivals. */
import type { DemandForecast } from '../../model/demand-forecast.js';
import type { JobSpec } from '../../model/job.js';
import type { ClusterState } from '../state/cluster-state.js';
import { longestBootS } from './boot-time.js';
import { occupancyS, weightedMean, workKindKey } from './work-kinds.js';

/**
 * After this many mean intervals without an arrival a stream may have stopped:
 * chance alone does so once in twelve; after twice as many it has.
 */
const STALE_ARRIVAL_INTERVALS = 2.5;
/**
 * However short the interval, a stream is not taken for stopped within this
 * share of a boot (docs/limits-history.md, "Tried without help", has a trial with less
 * patience).
 */
const STALE_ARRIVAL_BOOTS = 0.5;
/** The weights of the mean interval so far and of the latest one. */
const PAST_INTERVAL_WEIGHT = 0.9;
const LATEST_INTERVAL_WEIGHT = 0.1;
/** Keeps a share defined when nothing has arrived. */
const MIN_WEIGHT = 1e-9;
/** A forecast of fewer tasks at once than this is dropped. */
const NEGLIGIBLE_MEAN = 1e-3;

/**
 * Owns the forecasts of this term. Each mean is exponentially smoothed: every
 * arrival adds to it, and `decay` lets what is past fade.
 */
export class DemandForecasts {
  private byKind = new Map<string, DemandForecast>();
  private lastDecayAt: number | null = null;

  constructor(private readonly cluster: ClusterState) {}

  /** A job has arrived: its work counts towards the demand of its kind. */
  recordArrival(spec: JobSpec): void {
    const kind = workKindKey(spec);
    const forecast = this.byKind.get(kind) ?? this.initialForecast(spec);
    recordInterval(forecast);
    const occupancy = occupancyS(this.cluster, spec);
    const smoothings = occupancy / this.smoothingS();
    const arrived = spec.tasks * smoothings;
    forecast.spec = spec;
    forecast.meanRequest = weightedMean(forecast.meanRequest, forecast.mean, spec, arrived);
    const share = arrived / Math.max(MIN_WEIGHT, forecast.mean + arrived);
    forecast.occupancyS += (occupancy - forecast.occupancyS) * share;
    forecast.mean += arrived;
    forecast.variance += spec.tasks * spec.tasks * smoothings;
    this.byKind.set(kind, forecast);
  }

  /** Lets the forecasts fade by the time since the last call. */
  decay(now: number): void {
    const sinceMs = this.lastDecayAt === null ? 0 : now - this.lastDecayAt;
    this.lastDecayAt = now;
    const keep = Math.exp(-sinceMs / (this.smoothingS() * 1000));
    for (const [kind, forecast] of this.byKind) {
      forecast.sinceLastArrivalMs += sinceMs;
      forecast.mean *= keep;
      forecast.variance *= keep;
      if (forecast.mean < NEGLIGIBLE_MEAN) this.byKind.delete(kind);
    }
  }

  /** The kinds of work of which there is a forecast. */
  kinds(): IterableIterator<string> {
    return this.byKind.keys();
  }

  /** The forecast for a kind of work. */
  get(kind: string): DemandForecast | undefined {
    return this.byKind.get(kind);
  }

  /**
   * From 1 down to 0 as it becomes unlikely that jobs of the kind still arrive:
   * far longer than usual without an arrival, the stream has stopped, and its
   * machines need not stay for what no longer comes.
   */
  activeProbability(forecast: DemandForecast): number {
    if (forecast.arrivalIntervalMs === null) return 1;
    const bootMs = longestBootS(this.cluster.machineTypes) * 1000;
    const staleMs = forecast.arrivalIntervalMs * STALE_ARRIVAL_INTERVALS;
    const from = Math.max(staleMs, bootMs * STALE_ARRIVAL_BOOTS);
    const to = Math.max(staleMs * 2, bootMs);
    return Math.min(1, Math.max(0, (to - forecast.sinceLastArrivalMs) / (to - from)));
  }

  /** All forecasts, for the state service: a failover must not forget what to expect. */
  snapshot(): DemandForecast[] {
    return [...this.byKind.values()];
  }

  /** Replaces all forecasts by those of an earlier leader. */
  restore(forecasts: DemandForecast[]): void {
    // Earlier versions stored no occupancy.
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

  /** The time over which arrivals are averaged, in seconds. */
  private smoothingS(): number {
    return longestBootS(this.cluster.machineTypes) * this.cluster.policy.smoothingBoots;
  }
}

function recordInterval(forecast: DemandForecast): void {
  forecast.arrivalIntervalMs =
    forecast.arrivalIntervalMs === null
      ? forecast.sinceLastArrivalMs
      : forecast.arrivalIntervalMs * PAST_INTERVAL_WEIGHT +
        forecast.sinceLastArrivalMs * LATEST_INTERVAL_WEIGHT;
  forecast.sinceLastArrivalMs = 0;
}
