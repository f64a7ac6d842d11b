// Configuration of the membership protocol. All times are seconds.
#pragma once

namespace damsonspoke::members {

struct MembershipOptions {
  double probe_interval = 0.3;
  double min_suspicion_timeout = 2;       // in a fleet of ten; see suspicion_timeout()
  int indirect_probes = 3;                // members asked to probe a member that does not answer
  double mass_silence_hold = 60;          // no deaths are declared for this time while over half is silent
  double dead_retention = 7200;           // time for which records of dead members are retained
  double load_report_ttl = 10;            // after which a load report expires
  double push_pull_interval = 30;         // between two push-pulls, longer in a large fleet
  double gossip_bytes_per_second = 4000;  // of records about other members, in the long run
  double gossip_burst_bytes = 4000;       // that may be sent at once after a period without gossip
};

}  // namespace damsonspoke::members
