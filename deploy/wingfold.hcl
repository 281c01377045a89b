# Local settings of wingfold, beside the platform's configuration (GW_CONFIG). This file shows every key
# with its default; everything is off. Name it by `wingfold serve --own deploy/wingfold.hcl` or by WINGFOLD_OWN.
# `wingfold settings check FILE` tells all that is wrong with a file at once.

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

# What the director tells of itself: docs/figures.md has every figure.
figures {
  enabled = false

  # Values are made and sent so often, at whole multiples on the world's clock. Whole seconds.
  # interval = "10s"

  # What every path of Graphite begins with; the director's name follows.
  # prefix = "wingfold"

  # Keep the slowest and the failed of each stage, for `wingfold metrics watch`. It costs some microseconds a call.
  # causes = false
}

# Receivers of Graphite's; any number of blocks, each with a name of its own. They may change at SIGHUP.
# graphite "halls" {
#   addresses = ["10.0.0.9:2003"]
#   protocol = "plain"        # lines over TCP; "pickle": lists over TCP; "udp": lines in datagrams
#   deal = "all"              # "hash": each name goes to one of the addresses, by consistent hashing
#   settle = "60s"            # with "hash": a lost receiver gets its names back after it was well for so long
#   tags = false              # labels as tags instead of parts of the path
#   queue_kb = 1024           # what may wait for each address; the oldest intervals go whole. It counts as memory
#   connect_timeout = "2s"    # looking the name up included
#   write_timeout = "10s"     # for one interval; an interval's length if left out. Who takes bytes more slowly is cut off
#   retry_first = "1s"        # pauses after failures, doubled up to the longest, a quarter of each drawn by chance
#   retry_longest = "60s"
# }

# A collectd network listener. Install deploy/wingfold.types.db there.
# collectd "all" {
#   address = "10.0.0.8:25826"
#   packet = 1452
#   security = "none"         # "sign" or "encrypt", with a user and a file of `user: key` lines that nobody else may read
#   user = "wingfold"
#   keys = "/etc/wingfold/collectd.keys"
# }

# Loads of hosts from collectd, where the platform's reports tell none (settings.report.how = "silent").
# collectd_in {
#   enabled = false
#   listen = "10.0.0.4:25826"
#   security = "required"     # "none": packets need not be signed or encrypted
#   keys = "/etc/wingfold/collectd.keys"
#   host "db1" {              # collectd's name of the machine
#     is = "s-5be2a07c"       # its id on discovery's list
#     cores = 3
#   }
# }
