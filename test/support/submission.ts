/** Body of a valid submission, without its id. */
export const SUBMISSION = {
  bracket: 'work',
  crew: 'ops',
  form: 'array',
  rank: 'standard',
  hands: 2,
  cores: 2,
  accelerators: 0,
  memoryGb: 4,
  deck: 'img',
  pullGb: 1,
  oneZone: false,
  scatter: false,
  loaner: false,
  expectedS: 10,
  markEveryS: 0,
  markCostS: 0,
};
