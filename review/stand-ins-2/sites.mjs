/** Settings like those of the two small deployments of the brief. */

export const HANOI = {
  zones: ['hanoi', 'danang', 'hanoi'],
  settings: {
    size: 3,
    zones: ['danang', 'hanoi'],
    teams: [{ name: 'to-phantich', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
    objectives: [
      { kind: 'wait', class: 'boc-tham', within_s: 10, share: 0.975 },
      { kind: 'finished', class: 'boc-tham', within_s: 60, share: 0.98 },
      { kind: 'deadline', class: 'kiem-xao', share: 0.8, times: 1 },
    ],
    workers: { report_s: 3, lease_s: 20, gang_wait_s: 35, gang_peer_s: 8, cancel_s: 50 },
    state: { rps: 250, write_rps: 100, value_kb: 32, txn_ops: 32 },
    cloud: { rps: 5, list_lag_s: 5 },
    quota: { cpu: 0.085, memory_mb: 242, max_sockets: 1500 },
    skew_ms: 5,
  },
  types: [
    {
      sku: 'may16', cores: 16, accelerators: 0, memoryGb: 64, cacheGb: 50, pullGbPerS: 0.4,
      rate: 0.61, spotPrice: 0.2, readyS: 40, halls: ['hanoi', 'danang'],
    },
  ],
};

HANOI.capacity = {
  'may16 hanoi ordinary': 6, 'may16 hanoi spot': 18, 'may16 danang ordinary': 6, 'may16 danang spot': 18,
};

const LEDGER_TEAMS = [0, 1, 2, 3, 4, 5].map((i) => ({
  name: `ledger-support-0${i}`, cpus: 112, cpus_max: 360, gpus: 0, gpus_max: 0,
}));

export const WAIKATO = {
  zones: ['hamilton', 'tauranga', 'rotorua'],
  settings: {
    size: 3,
    zones: ['hamilton', 'rotorua', 'tauranga'],
    teams: LEDGER_TEAMS,
    objectives: [
      { kind: 'deadline', class: 'gst-prep', share: 0.85, times: 1 },
      { kind: 'wait', class: 'gst-prep', within_s: 25, share: 0.75 },
      { kind: 'deadline', class: 'bank-match', share: 0.88, times: 1 },
      { kind: 'guarantee', within_s: 15, share: 0.88 },
    ],
    workers: { report_s: 3, lease_s: 27, gang_wait_s: 40, gang_peer_s: 4, cancel_s: 52 },
    state: { rps: 150, write_rps: 20, value_kb: 8, txn_ops: 12 },
    cloud: { rps: 3, list_lag_s: 4 },
    quota: { cpu: 0.136, memory_mb: 146, max_sockets: 800 },
    skew_ms: 25,
  },
  types: [
    {
      sku: 'kauri', cores: 16, accelerators: 0, memoryGb: 128, cacheGb: 30, pullGbPerS: 0.5,
      rate: 1.38, spotPrice: 0.43, readyS: 50, halls: ['hamilton', 'tauranga', 'rotorua'],
    },
    {
      sku: 'totara', cores: 64, accelerators: 0, memoryGb: 256, cacheGb: 80, pullGbPerS: 0.5,
      rate: 4.84, spotPrice: 1.67, readyS: 30, halls: ['hamilton', 'tauranga', 'rotorua'],
    },
  ],
};

WAIKATO.capacity = {};
for (const hall of WAIKATO.zones) {
  WAIKATO.capacity[`kauri ${hall} ordinary`] = 3;
  WAIKATO.capacity[`kauri ${hall} spot`] = 6;
  WAIKATO.capacity[`totara ${hall} ordinary`] = 1;
  WAIKATO.capacity[`totara ${hall} spot`] = 1;
}

/** A submission with all fields. */
export function job(fields) {
  return {
    bracket: 'gst-prep', crew: 'ledger-support-00', form: 'array', rank: 'urgent', hands: 1,
    cores: 2, accelerators: 0, memoryGb: 4.3, deck: 'img-1', pullGb: 0.1, rigs: null, hall: null,
    oneZone: false, scatter: false, loaner: false, expectedS: 20, markEveryS: 0, markCostS: 0,
    dueS: null, ...fields,
  };
}
