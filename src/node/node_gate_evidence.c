#include "node/node_gate.h"

/*
 * The leader's part of the quarantine: it collects what entries have observed
 * of prompt parts, asks them before a verdict, and puts the verdict into the
 * log. The evidence is not replicated: entries report it to each new leader.
 */

/* Interval of looking for quarantines whose time is over. */
#define EXPIRY_INTERVAL_US (1000 * 1000ULL)
/* Parts that one message asks about. */
#define INQUIRED_PARTS_MAX 128u

/* finding: of START; NULL otherwise. */
static void
propose_change(struct node *n, uint64_t part, Wire__QuarantineChange change,
    const struct quarantine_finding *finding)
{
	Wire__Command command = WIRE__COMMAND__INIT;
	Wire__PartQuarantine body = WIRE__PART_QUARANTINE__INIT;

	body.part = part;
	body.change = change;
	if (finding != NULL) {
		body.ends = finding->ends;
		body.last_end_age_ms =
		    (uint32_t)((n->now - finding->last_end_us) / 1000);
	}
	command.body_case = WIRE__COMMAND__BODY_PART_QUARANTINE;
	command.part_quarantine = &body;
	(void)node_propose(n, NODE_PROPOSE_GATE, 0,
	    n->now + GATE_PROPOSAL_TIMEOUT_US, &command);
}

static void
log_suspected(struct node *n, const struct quarantine_finding *finding)
{
	char text[GATE_PART_TEXT_SIZE];

	gate_part_text(text, finding->hash);
	node_log(n, NODE_LOG_GATE_SUSPECTED,
	    "{\"part\": \"%s\", \"ends\": %u, \"lastEndMs\": %llu}", text,
	    finding->ends,
	    (unsigned long long)(n->now - finding->last_end_us) / 1000);
}

/* Asks all instances when requests with these parts were last answered. */
static void
inquire(struct node *n, uint64_t *parts, size_t count)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__PartInquiry inquiry = WIRE__PART_INQUIRY__INIT;
	const struct member *m;
	size_t i;

	if (count == 0)
		return;
	inquiry.parts = parts;
	inquiry.n_parts = count;
	gate_quarantine_on_inquiry(n, n->id, &inquiry);
	envelope.body_case = WIRE__ENVELOPE__BODY_PART_INQUIRY;
	envelope.part_inquiry = &inquiry;
	for (i = 0; i < member_view_count(n->view); i++) {
		m = member_view_at(n->view, i);
		if (m->id != n->id)
			node_peer_send(n, m->id, &envelope);
	}
}

static void
propose_expired(struct node *n)
{
	uint64_t part;

	if (n->now < n->gate->expiry_due_us)
		return;
	n->gate->expiry_due_us = n->now + EXPIRY_INTERVAL_US;
	if (quarantine_find_expired(n->gate->quarantine, n->now, &part))
		propose_change(n, part,
		    WIRE__QUARANTINE_CHANGE__QUARANTINE_CHANGE_EXPIRE, NULL);
}

void
gate_evidence_tick(struct node *n)
{
	struct node_gate *g = n->gate;
	struct quarantine_finding finding;
	uint64_t inquired[INQUIRED_PARTS_MAX];
	size_t count = 0;

	if (!g->placing || !gate_has_authority(n))
		return;
	propose_expired(n);
	while (count < INQUIRED_PARTS_MAX &&
	    quarantine_evidence_next(
		g->evidence, g->quarantine, n->now, &finding)) {
		if (finding.type == QUARANTINE_INQUIRE) {
			log_suspected(n, &finding);
			inquired[count++] = finding.hash;
			continue;
		}
		propose_change(n, finding.hash,
		    WIRE__QUARANTINE_CHANGE__QUARANTINE_CHANGE_START, &finding);
	}
	inquire(n, inquired, count);
}

void
gate_evidence_on_ended(struct node *n, const Wire__EndpointEnded *ended)
{
	struct quarantine_suspect *suspects;
	struct quarantine_end end = {0};
	size_t i,
	    count = ended->n_parts < QUARANTINE_SUSPECTS_MAX
	    ? ended->n_parts
	    : QUARANTINE_SUSPECTS_MAX;

	suspects = node_effects_alloc(n->fx, (count + 1) * sizeof(*suspects));
	for (i = 0; i < count; i++) {
		suspects[i].hash = ended->parts[i]->hash;
		suspects[i].position = ended->parts[i]->position;
	}
	end.process = ended->process;
	end.at_us = gate_time_of_age(n, ended->age_ms);
	end.suspects = suspects;
	end.nsuspects = count;
	quarantine_evidence_add_end(
	    n->gate->evidence, n->gate->quarantine, &end);
}

/* A part that is quarantined and was answered since is not to blame. */
static void
lift_if_served(struct node *n, uint64_t part, uint64_t served_us)
{
	const struct quarantine_part *found =
	    quarantine_find(n->gate->quarantine, part);

	if (found == NULL || !found->is_active ||
	    served_us <= found->last_end_us || !n->gate->placing ||
	    !gate_has_authority(n))
		return;
	propose_change(
	    n, part, WIRE__QUARANTINE_CHANGE__QUARANTINE_CHANGE_LIFT, NULL);
}

void
gate_evidence_on_served(struct node *n, const Wire__PartsServed *served)
{
	uint64_t served_us;
	size_t i;

	for (i = 0; i < served->n_parts; i++) {
		served_us = gate_time_of_age(n, served->parts[i]->age_ms);
		quarantine_evidence_add_served(
		    n->gate->evidence, served->parts[i]->hash, served_us);
		lift_if_served(n, served->parts[i]->hash, served_us);
	}
}
