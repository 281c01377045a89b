case "slow-kind" {
  about  = "One kind is slower than its listed size says and drowns: docs/incidents/slow-kind.md."
  tables = "identical" # or "free": only what is expected below counts
}

expect "out" {
  host = "slow-3"
  zone = "a"
  after = "10.1s"
  until = "13.5s"
}

expect "level" {
  class = "score"
  most = 0.9
  after = "8.1s"
  until = "11.5s"
}

expect "standing" {
  host = "full-1"
  is = "leading"
  after = "5s"
}
