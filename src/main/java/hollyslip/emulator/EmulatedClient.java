package hollyslip.emulator;

import hollyslip.HostScheduler.RequestClass;
import hollyslip.audit.Asked;
import hollyslip.engine.Answer;
import hollyslip.engine.Engine;
import hollyslip.engine.IoRequest;
import hollyslip.load.ArrivalProcess;
import hollyslip.load.Day;
import hollyslip.load.RequestMix;
import hollyslip.node.Nbd;
import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** A client of a volume at one gateway: asks on a schedule that does not wait for answers. What its ring has
 * no room for waits with it, and its time runs from when it was due. */
final class EmulatedClient {
  final Day.Load load;
  private final World world;
  private final EmulatedGateway site;
  private final String name;
  private final ArrivalProcess arrivals;
  private final RequestMix mix;
  private final ArrayDeque<Ask> backlog = new ArrayDeque<>();
  private final Set<Ask> out = new LinkedHashSet<>();
  private double speed = 1;
  private boolean readsOnly, abusive, blocked, ended;
  private long number;

  /** A request, from when it is due to its end. */
  private final class Ask implements IoRequest.CompletionListener {
    final long id;
    final IoKind kind;
    final long offset, length, dueUs;
    final long mark;
    final RequestClass rules;
    long askedUs, deadlineUs;
    IoRequest io;
    private boolean taken, over, left;
    /** Whether a process that was killed had taken it. */
    private boolean begun;

    Ask(IoKind kind, long offset, long length) {
      id = ++number;
      this.kind = kind;
      this.offset = offset;
      this.length = length;
      dueUs = world.time.now();
      mark = kind.modifiesData() ? world.nextMark() : 0;
      rules = world.rules(kind, length);
    }

    void handIn() {
      List<ByteBuffer> data = kind.modifiesData()
          ? List.of(ByteBuffer.allocate(Long.BYTES).putLong(0, mark))
          : List.of();
      IoRequest mine = new IoRequest(load.volume(), kind, offset, length, data, 0, this, begun);
      io = mine;
      out.add(this);
      site.offer(mine, room -> {
        taken = room;
        if (room) {
          askedUs = world.time.now();
          deadlineUs = askedUs + rules.deadlineUs();
        } else {
          out.remove(this);
          blocked = true;
          keep(this);
        }
      });
    }

    @Override
    public void onAnswer(Answer answer) {
      if (left) {
        return;
      }
      if (over) {
        note(2, Asked.Answer.NONE, false);
        return;
      }
      over = true;
      out.remove(this);
      Asked.Answer kindOfAnswer = Asked.Answer.valueOf(answer.kind().name());
      note(1, kindOfAnswer, false);
      if (abusive && kindOfAnswer != Asked.Answer.SERVED && !ended) {
        due();
      }
      pump();
    }

    @Override
    public void onRelease() {
      // There is no memory to free.
    }

    void note(int answers, Asked.Answer answer, boolean left) {
      long now = world.time.now();
      world.note(new Asked(name, site.name, load.volume(), id, kind == IoKind.READ
          ? Nbd.CMD_READ
          : Nbd.CMD_WRITE, offset, length, 0, -1, mark, askedUs, deadlineUs, answers, answers > 0 ? now : 0,
          answer, left), load.plan(), dueUs, rules.aimUs());
    }
  }

  EmulatedClient(World world, EmulatedGateway site, Day.Load load, int number, int all, long volumeBytes, long seed) {
    this.world = world;
    this.site = site;
    this.load = load;
    name = load.volume() + "-" + number;
    SplittableRandom seeds = new SplittableRandom(seed);
    mix = new RequestMix(load, number, all, volumeBytes, seeds.nextLong());
    arrivals = new ArrivalProcess(load.shape(), load.rate() / all, seeds.nextLong());
  }

  /** Begins its schedule. */
  void begin() {
    long at = EventQueue.START + arrivals.next(speed);
    if (!ended) {
      world.time.at(at, () -> {
        if (!ended) {
          due();
          begin();
        }
      });
    }
  }

  /** Asks nothing new from now on, nor what still waits with it. */
  void end() {
    ended = true;
    world.never(load.plan(), backlog.size());
    backlog.clear();
  }

  void speed(double factor) {
    speed = factor;
  }

  void readsOnly(boolean on) {
    readsOnly = on;
  }

  void abusive(boolean on) {
    abusive = on;
  }

  private void due() {
    RequestMix.Ask next = mix.next(readsOnly);
    backlog.add(new Ask(next.kind(), next.offset(), next.length()));
    pump();
  }

  private void pump() {
    while (site.isAlive() && !blocked && out.size() < load.depth() && !backlog.isEmpty()) {
      backlog.poll().handIn();
    }
  }

  /** A gateway serves its volume from now on. */
  void arrived(Engine engine) {
    blocked = false;
    engine.addCapacityListener(() -> {
      blocked = false;
      pump();
    });
    pump();
  }

  /** The gateway was killed: what is out is asked again when there is one. */
  void abandoned() {
    List<Ask> again = new ArrayList<>(out);
    out.clear();
    for (int i = again.size() - 1; i >= 0; i--) {
      again.get(i).begun |= again.get(i).taken;
      again.get(i).taken = false;
      keep(again.get(i));
    }
  }

  private void keep(Ask ask) {
    if (ended) {
      world.never(load.plan(), 1);
    } else {
      backlog.addFirst(ask);
    }
  }

  /** Leaves with everything out, and goes on as a new one. */
  void drop() {
    for (Ask a : List.copyOf(out)) {
      if (a.taken) {
        a.left = true;
        out.remove(a);
        a.note(0, Asked.Answer.NONE, true);
        site.depart(a.io);
      }
    }
    pump();
  }

  /** The run is over. */
  void finish() {
    out.forEach(a -> {
      if (a.taken) {
        a.note(0, Asked.Answer.NONE, false);
      }
    });
    world.never(load.plan(), out.stream().filter(a -> !a.taken).count());
  }
}
