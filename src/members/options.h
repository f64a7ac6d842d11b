// Configuration of the membership protocol. All times are seconds.
#pragma once

namespace damsonspoke::members {

struct MembershipOptions {
  double probe_interval = 0.3;
  double min_suspicion_timeout = 2;       // in a fleet of ten; see suspicion_timeout()
  int indirect_probes = 3;                // members asked to probe one that does not answer
  double mass_silence_hold = 60;          // no deaths are declared for so long while over half are silent
  double dead_retention = 7200;           // that records of dead members are remembered
  double load_report_ttl = 10;            // after which a load report has expired
  double push_pull_interval = 30;         // between two push-pulls, longer in a large fleet
  double gossip_bytes_per_second = 4000;  // of records about other members, in the long run
  double gossip_burst_bytes = 4000;       // that may be sent at once after a quiet time
};

}  // namespace damsonspoke::members
