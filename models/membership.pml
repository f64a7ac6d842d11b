/* Suspicion, refutation and leave, as src/members/membership_view*.cpp have them: one subject, two accusers, a network that
 * loses and disorders. Time is left out: whatever may happen in time happens in some order here. Each step is
 * one call of the view, which runs to its end.
 *
 *   here                      in src/members
 *   news                      MembershipView::apply_record, supersedes (record.cpp)
 *   probe                     MembershipView::start_probe, finish_probe, accuse; on_message (kPing, kAck)
 *   last look, call           MembershipView::check_suspicions, declare_dead
 *   the dead are tried        MembershipView::contact_dead_member, apply_records (corrections)
 *   accused                   MembershipView::apply_record_about_self, refute
 *   stall, go on              MembershipView::handle_own_pause
 *   leave                     MembershipView::leave
 *
 * What must hold:
 *   - who calls the subject dead has just looked and got no answer (`call`)
 *   - what is known of a life never goes back: neither the incarnation, nor at one incarnation the condition
 *     (`learn`); and nobody knows an incarnation that there has not been
 *   - when all is quiet and the subject is up, nobody sees it as suspected or dead; when it has left, nobody
 *     who heard of it sees it as there again (at the end)
 *
 * Each guard can be taken out, and an assertion fails then: -DNO_LAST_LOOK, -DNO_ORDER, -DNO_REFUTE.
 */

#define THERE 0
#define SUSPECTED 1
#define DEAD 2
#define LEFT 3

#ifndef MOST
#define MOST 2 /* incarnations; -DMOST=3 takes six times the states */
#endif
#define ACTS 1 /* troubles of the subject in one history, a stall or a leave */

byte incarnation = 0;
byte condition = THERE; /* by its own account: there, or left */
bool stalled = false;   /* it neither answers nor hears */
bool quiet = false;     /* troubles and losses are over */
bool told_left[2];      /* this accuser heard of the leave */

byte known[2];     /* incarnation */
byte seen[2];      /* condition */

chan to_accuser[2] = [1] of { byte, byte };
chan to_subject = [1] of { byte, byte };

/* Lost where there is no room, or by chance until all is quiet. */
inline say(channel, i, c) {
  if
  :: nfull(channel) -> channel ! i, c
  :: !quiet || full(channel) -> skip
  fi
}

inline learn(a, i, c) {
#ifdef NO_ORDER
  if
  :: true ->
#else
  if
  :: i > known[a] || (i == known[a] && c > seen[a]) ->
#endif
    assert(i > known[a] || (i == known[a] && c >= seen[a]));
    known[a] = i;
    seen[a] = c;
    if
    :: c == LEFT -> told_left[a] = true
    :: else -> skip
    fi
#ifndef NO_ORDER
  :: else -> skip
#endif
  fi;
  assert(known[a] <= incarnation)
}

proctype accuser(byte a) {
  byte i, c;
  bool silent;
  do
  :: atomic { to_accuser[a] ? i, c -> learn(a, i, c) }
  /* probe */
  :: atomic { seen[a] == THERE && !quiet ->
      if
      :: !stalled -> learn(a, incarnation, condition)
      :: true -> /* it stands still, or a datagram was lost */
        seen[a] = SUSPECTED;
        say(to_subject, known[a], SUSPECTED);
        say(to_accuser[1 - a], known[a], SUSPECTED)
      fi
    }
  /* last look, call */
  :: atomic { seen[a] == SUSPECTED ->
      silent = false;
#ifndef NO_LAST_LOOK
      if
      :: !stalled -> say(to_subject, known[a], SUSPECTED); learn(a, incarnation, condition)
      :: stalled -> silent = true
      fi;
      if
      :: silent ->
#else
      if
      :: true ->
#endif
        assert(silent);
        seen[a] = DEAD;
        say(to_accuser[1 - a], known[a], DEAD)
      :: else -> skip
      fi
    }
  /* the dead are tried */
  :: atomic { seen[a] == DEAD && !stalled ->
      if
      :: incarnation > known[a] -> learn(a, incarnation, condition)
      :: else -> say(to_subject, known[a], DEAD)
      fi
    }
  :: atomic { quiet && empty(to_accuser[a]) && (seen[a] == THERE || seen[a] == LEFT) -> break }
  od
}

active proctype subject() {
  byte i, c, acts = 0;
  run accuser(0);
  run accuser(1);
  do
  /* accused */
  :: atomic { !stalled && nempty(to_subject) -> to_subject ? i, c;
      if
#ifndef NO_REFUTE
      :: condition == THERE && i >= incarnation && incarnation < MOST ->
        incarnation = i + 1;
        say(to_accuser[0], incarnation, THERE);
        say(to_accuser[1], incarnation, THERE)
#endif
      :: else -> skip
      fi
    }
  :: atomic { acts < ACTS && !quiet && !stalled && condition == THERE -> stalled = true; acts++ }
  /* go on: it noticed, and refutes before it is accused */
  :: atomic { stalled -> stalled = false;
#ifndef NO_REFUTE
      if
      :: incarnation < MOST -> incarnation++;
        say(to_accuser[0], incarnation, THERE);
        say(to_accuser[1], incarnation, THERE)
      :: else -> skip
      fi
#endif
    }
  :: atomic { acts < ACTS && !quiet && !stalled && condition == THERE && incarnation < MOST -> acts++;
      incarnation++;
      condition = LEFT;
      say(to_accuser[0], incarnation, LEFT);
      say(to_accuser[1], incarnation, LEFT)
    }
  :: atomic { !stalled && !quiet -> quiet = true }
  :: atomic { quiet && _nr_pr == 1 -> break }
  :: atomic { quiet && incarnation >= MOST -> goto out } /* a history longer than is looked at */
  :: atomic { quiet && condition == LEFT -> goto left }
#ifdef NO_REFUTE
  :: atomic { quiet && !stalled && condition == THERE && empty(to_subject) && (seen[0] == DEAD || seen[1] == DEAD) ->
      assert(false) } /* nothing will ever come of it */
#endif
  od;
  if
  :: condition == THERE -> assert(seen[0] == THERE && seen[1] == THERE)
  :: else -> skip
  fi;
left:
  assert(!told_left[0] || seen[0] == LEFT);
  assert(!told_left[1] || seen[1] == LEFT);
out:
  skip
}
