"""Constants of the steering package."""

from typing import Final

# Length of the tag, which both ends of a flow echo in each packet.
TAG_BITS: Final = 32
# At the planned size of 4,600 endpoints, 20 bits give about ten collisions.
# The check bits resolve them.
ENDPOINT_BITS: Final = 20
CHECK_BITS: Final = TAG_BITS - ENDPOINT_BITS
CHECK_MASK: Final = (1 << CHECK_BITS) - 1
ENDPOINT_MASK: Final = (1 << ENDPOINT_BITS) - 1

# The fabric closes flows after 60 s. Tags of removed endpoints are kept
# for longer, so that each of their flows can be answered with a reset.
REMOVED_ENDPOINT_RETENTION_S: Final = 90.0
# Entries of living endpoints lapse when the store is down or loses or delays
# their heartbeats. They are written again within 2 s, as the platform
# specifies. The remaining 0.5 s covers the delivery.
LAPSED_ENTRY_RETURN_S: Final = 2.5
# An entry without heartbeats is removed after three of their intervals, 3.6 s
# in the known deployments. The rest covers the delivery.
ENTRY_LIFETIME_S: Final = 5.0

# A view without a gap is confirmed at least this often: a waiting read of 1 s,
# the delay of 0.25 s that collects changes, and the transit. In a longer gap
# the store may have been away, and entries may have lapsed.
CONFIRMATION_GAP_S: Final = 1.5

# A domain that is out stays out for this long when a restored store lacks the
# operator's command. The platform names no time in which it is written again.
LOST_COMMAND_RETURN_S: Final = 10.0

# Flows whose endpoint is unknown are remembered until the view was confirmed
# again, which takes at most two seconds while it counts as current,
# and the caller has retransmitted, which it does after at most 1.6 s.
ABSENCE_LIFETIME_S: Final = 5.0
# Bounds the memory that packets with invented tags can take.
MAX_ABSENCES: Final = 10_000

# A caller retransmits its SYN after 200 ms and 600 ms and gives up after 1.4 s.
HANDSHAKE_LIFETIME_S: Final = 1.5
# The first retransmission is due after 200 ms. A caller that has neither
# completed nor retransmitted its handshake by then was refused by the endpoint.
HANDSHAKE_RETRY_TIMEOUT_S: Final = 0.25
# Older handshakes are ignored: the balancer was paused and may have missed
# packets.
HANDSHAKE_CHECK_MAX_AGE_S: Final = 1.0
# A restarted endpoint writes its entry at once; with a whole store, all
# balancers know it well within this time.
REFUSAL_LIFETIME_S: Final = 3.0
# Older refusals are not reported to other balancers, which have heard of them.
REFUSAL_REPORT_AGE_S: Final = 1.0
# Long enough for two retransmissions of a caller.
SUSPICION_DURATION_S: Final = 2.0
# A request counts as in flight for at most this long. Request timeouts of
# callers in the known deployments are 2.5 s to 11 s.
REQUEST_LIFETIME_S: Final = 5.0
# Flows without a packet for this long are dropped from the table. The idle
# timeout of callers in the known deployments is 15 s.
FLOW_IDLE_S: Final = 20.0
MAX_FLOWS: Final = 200_000

# Penalties are added to the score of an endpoint: its number of requests in
# flight, including the new one, divided by its slots.
#
# Endpoints of other failure domains. Their flows break or stall when the
# domains are partitioned, so local endpoints are preferred until each of their
# slots has one request queued.
REMOTE_DOMAIN_PENALTY: Final = 1.0
# Endpoints whose entry may only have lapsed. They are used once the listed
# endpoints have one more request for each slot.
LAPSED_PENALTY: Final = 1.0
# A suspected endpoint is used only when all others are suspected as well.
SUSPICION_PENALTY: Final = 100.0
# The same holds for endpoints of a domain in which several left handshakes
# unanswered.
SUSPECT_DOMAIN_PENALTY: Final = 50.0
SUSPECT_DOMAIN_MIN_ENDPOINTS: Final = 2
# Endpoints that only other balancers suspect are preferred to those that this
# balancer suspects.
REPORTED_SUSPICION_PENALTY: Final = 10.0
# Reports arrive every 0.2 s to 0.5 s. A suspicion that is not reported again
# ends after this time.
REPORTED_SUSPICION_LIFETIME_S: Final = 1.2
# Load reports of other balancers are ignored when they are older than this.
LOAD_REPORT_LIFETIME_S: Final = 1.5
# Number of flows with a retransmitted packet, at least one of them a handshake,
# after which an endpoint counts as unreachable. At a packet loss of 1 in 40,
# 1 handshake in 20 stays unanswered, and four in a row without progress occur
# with a probability of 1 in 160,000.
UNREACHABLE_MIN_FLOWS: Final = 4
# In a large domain, a balancer sees a flow of an endpoint only every few
# seconds. Stalled requests mean little there, so only handshakes are counted.
UNREACHABLE_MIN_HANDSHAKES_LARGE_DOMAIN: Final = 6
# Callers retransmit data after 200, 600 and 1,400 ms.
RETRANSMISSION_LIFETIME_S: Final = 1.5
# An endpoint can count as unreachable once none of its flows has made progress
# for this long. An endpoint that is slowed down by a factor of five still
# completes several requests a second through each balancer of a small domain.
NO_PROGRESS_S: Final = 1.0
# A balancer that reports this weight of recent requests of an endpoint has seen
# a reply within the last quarter of a second.
REPORTED_PROGRESS_MIN_REQUESTS: Final = 0.5
# An endpoint with stalled requests gets one new flow as a probe after this time
# without progress, at most once per interval, to check whether it answers a
# handshake. The caller of that flow retransmits after 200 ms and is then placed
# on another endpoint.
PROBE_NO_PROGRESS_S: Final = 0.4
PROBE_INTERVAL_S: Final = 1.0
# Entries of failed endpoints are removed within this time in the known
# deployments. An endpoint that is still listed afterwards is tried again.
UNREACHABLE_DURATION_S: Final = 4.0
# An endpoint that seems unreachable is checked at most once in this time. Each
# check opens a connection, which takes a file descriptor of the endpoint.
CONTACT_CHECK_INTERVAL_S: Final = 2.0
# Checks at the same time. When a whole domain is cut off, its endpoints are
# checked in turn; each check takes 0.4 s at most.
MAX_CONTACT_CHECKS: Final = 32
# Callers retransmit an opening packet after 200 ms. A copy that arrives sooner
# was queued together with the first one while this balancer was paused.
OPENING_RETRANSMISSION_MIN_S: Final = 0.1

# Factor by which the delay sums decay on each tick of 0.25 s. Queues at the
# endpoints fill and empty within half a second.
DELAY_DECAY_PER_TICK: Final = 0.5
# Endpoints with less than this weight of recent requests are dropped.
DELAY_MIN_REQUESTS: Final = 0.1
# Weight, in requests, of the common service time in that of an endpoint.
DELAY_PRIOR_REQUESTS: Final = 2.0
# Endpoints that are slower than all by less than this factor count as equal:
# requests differ that much.
MIN_SLOWNESS: Final = 1.5
MAX_SLOWNESS: Final = 8.0
# Delays are capped at this multiple of the goal.
MAX_DELAY_GOALS: Final = 2.0
# A request that takes more than the first multiple of its goal waited in a
# queue; one that takes more than the second was stalled by a partition or by
# lost packets.
SLOW_GOALS: Final = 0.5
STALLED_GOALS: Final = 4.0
# A service is congested when its requests spend more than this share of their
# time in slow requests. The share of requests would be misleading: an endpoint
# with a full queue turns most requests away at once.
OVERLOAD_SLOW_SHARE: Final = 0.6
OVERLOAD_MIN_REQUESTS: Final = 8.0
# In a congested service, a flow is refused when its request is expected to take
# more than this share of the goal. Service times vary, and a refused caller
# tries other balancers at once, of which the most optimistic one decides.
OVERLOAD_EXPECTED_SHARE: Final = 0.6
# An endpoint that is not among the random choices must stay below this share of
# that limit, which covers the error of the lowest of many estimates.
CLEARLY_FASTER_SHARE: Final = 0.75
RANDOM_CHOICES: Final = 2
# Balancers report their load more often for this long after a flow was placed
# on a congested service.
CONGESTION_LIFETIME_S: Final = 1.0

# A process that did not run for four ticks was paused.
PAUSE_THRESHOLD_S: Final = 1.0
# A reader confirms the view at least once a second. A caller gives up a
# handshake after 1.4 s, so opening packets are placed after this time even
# with an unconfirmed view.
WAKE_CONFIRMATION_S: Final = 1.1

# Above this number, the endpoints of a service are sampled instead of compared
# one by one.
MAX_COMPARED_ENDPOINTS: Final = 24

# Number of balancers, over all failure domains, that may open flows to one cold
# endpoint. Each may open one flow at a time, so that together they stay below
# the fixed burst allowance of five flows. The fifth flow covers the time in
# which balancers of a domain have different member lists.
WARMUP_HOLDERS: Final = 4

# Factor by which the sums of a capacity estimate decay on each tick of 0.25 s;
# half of the weight is younger than half a second.
CAPACITY_DECAY_PER_TICK: Final = 0.7
# An endpoint has recovered, and its earlier requests do not count any more, if
# the mean of at least so many recent requests is below this share of the known
# service time. That time is weighted by the delay: it is 2.2 times the mean if
# 3% of the requests take seven times as long as the others.
CAPACITY_MIN_RECOVERED_REQUESTS: Final = 4.0
CAPACITY_RECOVERED_SHARE: Final = 0.2
# Requests for each slot of an endpoint up to which a short delay shows its
# speed. Endpoints of the known deployments reject from five on.
CAPACITY_MAX_RECOVERED_LOAD: Final = 1.5
# Endpoints of the known deployments hold five requests for each slot before
# they reject. The rest is left to flows that other domains send.
MAX_REQUESTS_PER_SLOT: Final = 3.5
# Share of the goal within which the last request that an endpoint holds is to
# be answered, for the least important route of a service and for the others.
# Service times vary by half of their mean.
SHORTAGE_WAIT_SHARE: Final = 0.6
SHORTAGE_IMPORTANT_WAIT_SHARE: Final = 0.8
# A shortage lasts while the requests in flight exceed this share of the limits.
SHORTAGE_END_SHARE: Final = 0.6
# Reports of a large domain are up to 1 s old.
SHORTAGE_LIFETIME_S: Final = 1.0
# A request in flight shows that an endpoint may have become slow, before the
# first of its requests has completed, from this multiple of its goal on.
WAITING_MIN_GOALS: Final = 0.25
# Endpoints that are compared for a flow of a more important route. With half of
# the capacity in a few fast endpoints, one of them is among four with a
# probability of 15 in 16.
SHORTAGE_CHOICES: Final = 4
# Smaller service times count as this one in weights.
MIN_SERVICE_S: Final = 0.001
# With fewer requests in flight than this share of the limits, other balancers
# have room, and a flow of the least important route is placed as well.
SHORTAGE_ROOM_SHARE: Final = 0.75

# Time constant of the demand that balancers report. Reports are sent every
# 0.5 s, so a change shows in two or three of them.
DEMAND_DECAY_S: Final = 1.0
# Age at which the reference of the weights is moved. They reach exp(30), which
# leaves the precision of the sums untouched.
DEMAND_REFERENCE_LIFETIME_S: Final = 30.0
# Lower rates are dropped. A handshake of 0.2 ms every ten seconds is above it.
DEMAND_MIN_RATE_PER_S: Final = 1e-6

# Spill-over between failure domains (`spillover`, `domain_choice`).
#
# Share of the difference to its target, without unit, by which the share of a
# domain changes in each decision. Reports are two decisions old; larger steps
# reach the target before the first report that shows their effect.
SPILLOVER_STEP: Final = 0.25
# A share falls to its target at once, without a step, if the target is below
# this share of it, without unit. Smaller differences are mostly noise: if they
# were followed downwards at once, a noise of 5% in the reported demand would
# double the mean queue of the domain.
SPILLOVER_FALL: Final = 0.5
# Share of the capacity of a domain, without unit, that other domains leave
# free. It covers the growth of the domain's own demand until the shares of the
# others follow, at most 2 s: the age of a report, a decision and its delivery.
SPILLOVER_RESERVE: Final = 0.1
# Time, in seconds, for which demand above capacity is taken to last in the
# expected wait: the age of a report and one interval of decisions. No decision
# has an effect that is seen earlier.
SPILLOVER_HORIZON_S: Final = 1.5
# Time, in seconds, in which a queue is to be cleared by sending flows
# elsewhere. An integrator that is corrected after 1.5 s does not overshoot if
# its time constant is at least e times as long, 4.1 s.
SPILLOVER_DRAIN_S: Final = 5.0
# A queue is short if its wait is at most this share of the goal, without unit.
# In-flight counts vary by that much below capacity.
SPILLOVER_SHORT_WAIT_GOALS: Final = 0.2
# Rate, in bytes per second, at which the bytes of a flow add to the necessary
# gain. The slowest links in the known deployments have 10 Mbit/s.
SPILLOVER_BYTES_PER_S: Final = 1_250_000.0
# Duration of a handshake, in seconds, with a domain to which no flow was opened
# recently. Twice the longest one-way delay in the known deployments, 5.4 ms,
# and some time for the endpoint.
SPILLOVER_DEFAULT_HANDSHAKE_S: Final = 0.012
# Share of the additional delay, without unit, that the expected wait must
# exceed while flows leave already. To start, it must exceed all of it. The
# share would otherwise alternate with a demand close to the threshold.
SPILLOVER_STOP_COST_SHARE: Final = 0.5
# A share that was not decided for this time, in seconds, starts from 0: the
# reports that carried it have expired everywhere.
SPILLOVER_STATE_LIFETIME_S: Final = LOAD_REPORT_LIFETIME_S
# A domain is taken for a user of the spare capacity of the others for this
# time, in seconds, after its last report. It may be partitioned from this
# domain only. Partitions in the known deployments last 5 s at most.
SPILLOVER_DOMAIN_RETENTION_S: Final = 60.0
# Shares that leave at most this share, without unit, to the local domain come
# from a domain without a usable endpoint. Reports round each share to a
# ten-thousandth.
SPILLOVER_ROUNDING: Final = 0.001

# Share of the slots of a domain that can work without long queues: with two
# slots and random arrivals, requests wait for 1.8 service times at this load.
SERVICE_UTILIZATION: Final = 0.8
# Shares of domains are logged when they change by this much.
SHARE_LOG_STEP: Final = 0.05
# Shares among callers.
#
# Half-life of the number of flows of a caller, in seconds. A caller with ten
# times the mean has to open 2.2 flows a second to be told apart; a shorter
# half-life would need more.
CALLER_HALF_LIFE_S: Final = 4.0
# Callers in the table. Each takes 317 bytes (tracemalloc), together 1.3 MB of
# the 128 MB that a balancer may use.
MAX_CALLERS: Final = 4_096
# A caller is above its share beyond this multiple of the mean of the others.
CALLER_SHARE_FACTOR: Final = 2.0
# Standard deviations by which it has to be above. In replays of 30,000 flows of
# equal callers, 2 gave up to 92 false results, 3 and 4 none.
CALLER_DEVIATIONS: Final = 4.0
# Callers with a lower decayed count are forgotten: one flow 8 s ago.
CALLER_MIN_COUNT: Final = 0.25
# Half-lives after which counts are rescaled. Floating-point numbers reach 1,023
# powers of two.
CALLER_LANDMARK_HALF_LIVES: Final = 500.0

# Full endpoints.
#
# Callers with an unanswered handshake from which on an endpoint may be full.
# One of them may itself be cut off.
FULL_MIN_CALLERS: Final = 2
# Unanswered handshakes that other balancers have to report to count as another
# caller. A caller tries three balancers, so that it alone can account for two
# beside the one that this balancer saw.
FULL_MIN_REPORTED_HANDSHAKES: Final = 3
# Time within which the handshakes were left unanswered, in seconds. The copies
# of one handshake arrive within 1.4 s.
FULL_WINDOW_S: Final = 1.5
# An endpoint without a new unanswered handshake for this long, in seconds, does
# not count as full any more. A probe a second shows in time that it still is.
FULL_LIFETIME_S: Final = 2.0
# Interval of the flows that a balancer places on full endpoints as probes, in
# seconds.
FULL_PROBE_INTERVAL_S: Final = 1.0
# Time for which a sign of life of a full endpoint holds, in seconds: the
# interval of checks (2 s), the check itself (0.4 s), and the tick.
FULL_ALIVE_LIFETIME_S: Final = 3.0
# Closed flows remembered for each endpoint, which bounds the memory. Each lets
# one new flow through.
FULL_MAX_CLOSED: Final = 16
