package org.verbenamast.core.chart;

import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.effect.StopReason;

/** The vocabulary of a door, for tests of the chart interpreter and of the checks at load time. */
public final class DoorChart {

    /** The names that the test charts may use. */
    public static final Vocabulary<Event, Condition, Step, Timer, Tag> VOCABULARY =
            new Vocabulary<>(Event.class, Condition.class, Step.class, Timer.class, Tag.class);

    private DoorChart() {}

    /** The events of the door. */
    public enum Event {
        OPEN,
        CLOSE,
        TIMED_OUT
    }

    /** The guards: opening is permitted where the input is true. */
    public enum Condition implements Guard<Integer, Boolean> {
        ALLOWED {
            @Override
            public boolean permits(Integer data, Boolean input, long now) {
                return input;
            }
        }
    }

    /** The actions: one counts in the instance's data, the other emits an effect. */
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

    /** The timers: one, which is due 10 ns after it starts. */
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

    /** The tags of states. */
    public enum Tag {
        PASSABLE
    }
}
