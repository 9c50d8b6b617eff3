package org.verbenamast.core.chart;

import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.effect.StopReason;

/** A small vocabulary for tests of the interpreter and of the load-time checks. */
public final class DoorChart {

    /** The names that test charts may use. */
    public static final Vocabulary<Event, Condition, Step, Timer, Tag> VOCABULARY =
            new Vocabulary<>(Event.class, Condition.class, Step.class, Timer.class, Tag.class);

    private DoorChart() {}

    /** The events. */
    public enum Event {
        OPEN,
        CLOSE,
        TIMED_OUT
    }

    /** The conditions. */
    public enum Condition implements Guard<Integer, Boolean> {
        ALLOWED {
            @Override
            public boolean permits(Integer data, Boolean input, long now) {
                return input;
            }
        }
    }

    /** The steps. */
    public enum Step implements Action<Integer, Boolean> {
        COUNT {
            @Override
            public Integer apply(Integer data, Boolean input, long now, Effects effects) {
                return data + 1;
            }
        },
        REPORT {
            @Override
            public Integer apply(Integer data, Boolean input, long now, Effects effects) {
                effects.emit(new Effect.StopProcess(StopReason.ASKED));
                return data;
            }
        }
    }

    /** The timers. */
    public enum Timer implements TimerRule<Event, Integer> {
        OPEN_TIMEOUT {
            @Override
            public Event fires() {
                return Event.TIMED_OUT;
            }

            @Override
            public long delayNanos(Integer data, long now) {
                return 10;
            }
        }
    }

    /** The marks. */
    public enum Tag {
        PASSABLE
    }
}
