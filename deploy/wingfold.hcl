# wingfold's own settings: what the platform's configuration (GW_CONFIG) does not speak of. This file shows every key
# with its default; everything is off. Name it by `wingfold serve --own deploy/wingfold.hcl` or by WINGFOLD_OWN.
# `wingfold own check FILE` tells all that is wrong with a file at once.

log {
  form  = "text" # "json": one object a line, for machines
  level = "info" # error, warn, info, debug or trace
}

# Everything that the decision module is told and answers, so that it can be replayed: docs/capture.md.
capture {
  enabled = false

  # Where it goes: a folder on a disk that lasts, in which each director gets one of its own by its name ...
  # directory = "/var/lib/wingfold/capture"
  # ... or the last minutes in memory, which counts in the platform's limits.memory_mb. One of the two.
  # memory_mb = 8

  # A segment replays alone; it ends with so many MB or after this time, whichever comes first. Shorter ones lose less
  # when one is damaged, and cost one checkpoint each. In memory a segment is a quarter of the ring at most.
  # segment_mb = 16
  # segment_age = "10m"

  # The oldest segments go when there are more, or more MB of them: a day in segments of ten minutes.
  # keep = 144
  # keep_mb = 1024

  # What may wait for the writer, in KB. With a full queue calls are let go of and the capture has a gap: the director
  # never waits. It counts as memory.
  # queue_kb = 4096

  # Calls are written after this time at the latest: what a killed process loses.
  # flush = "1s"

  # Where the memory is written to when an invariant fails, or when somebody asks who knows the token:
  # curl -X POST -H "authorization: Bearer TOKEN" http://ADDRESS/capture/dump
  # dump_directory = "/tmp/wingfold-dump"
  # dump_token = "choose-a-long-one-here"
}
