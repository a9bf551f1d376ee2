package hollyslip.admin;

import hollyslip.HostScheduler.VolumeChanged;
import hollyslip.store.Disk;
import hollyslip.store.Journal;
import hollyslip.store.StoreException;
import hollyslip.tenant.Change;
import hollyslip.tenant.Entry;
import hollyslip.tenant.HostedVolume;
import hollyslip.tenant.Phase;
import hollyslip.tenant.Registrar;
import hollyslip.tenant.Registry;
import hollyslip.tenant.Shard;
import hollyslip.tenant.Tenant;
import hollyslip.tenant.Trail;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The one place where the registry changes. Commands come one after the other on one thread: decided,
 * recorded, applied; they are answered, and carried out, once their record is synced. What reads sees is
 * synced too before they are answered. When the store cannot be written nothing changes any more; what is
 * served goes on. */
public final class Control implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Control.class);

  /** Bytes of records after which a snapshot is taken. */
  private static final long SNAPSHOT_BYTES = 8 << 20;

  /** Pause before something that could not be carried out is tried again. */
  private static final long RETRY_MS = 500;

  private final Registry registry;
  private final Registrar registrar;
  private final Journal journal;
  private final Carrier carrier;
  private final int hosts;
  private final LongSupplier clock;
  private final Set<Consumer<Trail>> listeners = ConcurrentHashMap.newKeySet();
  private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(r -> {
    Thread t = new Thread(r, "control");
    t.setDaemon(true);
    return t;
  });
  private CompletableFuture<Long> lastWrite = CompletableFuture.completedFuture(0L);
  private long bytesSince;
  private volatile boolean closing;

  /** What a record asks of the carrier. */
  private record Step(HostedVolume volume, Tenant tenant, VolumeChanged terms) {}

  /** Opens the store and carries out what it holds.
   *
   * @param firstId
   *          ids from here on are given away
   * @param hosts
   *          gateways of the deployment
   * @param clock
   *          ms since 1970 */
  public Control(Disk disk, Collection<Shard> shards, long firstId, int hosts, Carrier carrier,
      LongSupplier clock) throws IOException {
    this.carrier = carrier;
    this.hosts = hosts;
    this.clock = clock;
    journal = new Journal(disk);
    try {
      Journal.Found found = journal.found();
      found.remarks().forEach(r -> LOG.atWarn().addKeyValue("remark", r).log("store.opened"));
      registry = found.state() == null
          ? new Registry(shards, firstId)
          : new Registry(shards, Records.image(found.state()));
      long sequence = found.sequence();
      for (byte[] record : found.records()) {
        registry.apply(++sequence, Records.entry(record));
        bytesSince += record.length;
      }
      registrar = new Registrar(registry);
      LOG.atInfo()
          .addKeyValue("tenants", registry.tenantNames().size())
          .addKeyValue("volumes", registry.volumes().size())
          .addKeyValue("sequence", sequence)
          .log("store.opened");
    } catch (IOException | RuntimeException e) {
      journal.close();
      throw e;
    }
  }

  /** Carries out all that is recorded; complete when each volume was served, or it was logged why it is not
   * yet: it is tried again then. */
  public CompletableFuture<Void> start() {
    CompletableFuture<Void> tried = new CompletableFuture<>();
    run(tried, () -> {
      registry.nodes().forEach(n -> carrier.node(n.node(), n.state()));
      List<CompletableFuture<Void>> all = new ArrayList<>();
      registry.volumes()
          .stream()
          .sorted((a, b) -> Long.compare(a.id(), b.id()))
          .forEach(v -> all.add(carry(step(v)).exceptionally(e -> null)));
      CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0])).thenRun(() -> tried.complete(null));
    });
    return tried;
  }

  private Step step(HostedVolume v) {
    return new Step(v, registry.tenant(v.tenant()), registry.told(v, hosts));
  }

  /** A command: decided on the registry as it then stands; complete, with the view after it, once it is
   * synced. A decision of null changes nothing and is no error. */
  public <T> CompletableFuture<T> command(BiFunction<Registrar, Long, Entry> decide,
      Function<Registry, T> view) {
    return command(decide, (r, entry) -> view.apply(r));
  }

  /** As the other, with the entry for the view. */
  <T> CompletableFuture<T> command(BiFunction<Registrar, Long, Entry> decide,
      BiFunction<Registry, Entry, T> view) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    run(answer, () -> {
      if (journal.broken() != null) {
        throw unwritable();
      }
      Entry entry = decide.apply(registrar, clock.getAsLong());
      if (entry != null) {
        record(entry);
      }
      answerWith(answer, view.apply(registry, entry));
    });
    return answer;
  }

  /** Something read from the registry; complete once all that it may have seen is synced. */
  public <T> CompletableFuture<T> read(Function<Registry, T> view) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    run(answer, () -> answerWith(answer, view.apply(registry)));
    return answer;
  }

  private <T> void answerWith(CompletableFuture<T> answer, T value) {
    lastWrite.whenComplete((done, error) -> {
      if (error == null) {
        answer.complete(value);
      } else {
        answer.completeExceptionally(unwritable());
      }
    });
  }

  private static RuntimeException unwritable() {
    return new IllegalStateException("the store cannot be written; see the log");
  }

  private void run(CompletableFuture<?> answer, Runnable task) {
    try {
      thread.execute(() -> {
        try {
          task.run();
        } catch (RuntimeException e) {
          answer.completeExceptionally(e);
        }
      });
    } catch (java.util.concurrent.RejectedExecutionException e) {
      answer.completeExceptionally(new IllegalStateException("the gateway ends"));
    }
  }

  private void record(Entry entry) {
    byte[] bytes = Records.bytes(entry);
    CompletableFuture<Long> write = journal.append(bytes);
    long sequence = journal.last();
    lastWrite = write;
    List<Trail> before = new ArrayList<>();
    Consumer<Trail> collect = before::add;
    registry.apply(sequence, entry, collect);
    List<Step> steps = new ArrayList<>();
    List<Change.NodePut> nodes = new ArrayList<>();
    for (Change c : entry.changes()) {
      if (c instanceof Change.VolumePut v && v.volume().phase() != Phase.ACTIVE) {
        steps.add(step(v.volume()));
      } else if (c instanceof Change.NodePut n) {
        nodes.add(n);
      }
    }
    CompletableFuture<Void> carried = new CompletableFuture<>();
    carried.exceptionally(e -> {
      // What could not be begun is not tried again before the next start; it must not pass unseen.
      LOG.atError().setCause(e).addKeyValue("target", entry.target()).log("volume.fault");
      return null;
    });
    write.thenRun(() -> run(carried, () -> {
      steps.forEach(this::carry);
      nodes.forEach(n -> carrier.node(n.node(), n.state()));
      before.forEach(t -> listeners.forEach(l -> l.accept(t)));
    }));
    bytesSince += bytes.length;
    if (bytesSince > SNAPSHOT_BYTES) {
      bytesSince = 0;
      snapshot();
    }
  }

  private CompletableFuture<Long> snapshot() {
    Registry.Image image = registry.image();
    return journal.snapshot(journal.last(), () -> Records.bytes(image));
  }

  /** Keeps the present state as a snapshot. */
  public CompletableFuture<Long> keep() {
    CompletableFuture<Long> done = new CompletableFuture<>();
    run(done, () -> snapshot().whenComplete((n, e) -> {
      if (e == null) {
        done.complete(n);
      } else {
        done.completeExceptionally(e);
      }
    }));
    return done;
  }

  private CompletableFuture<Void> carry(Step s) {
    HostedVolume v = s.volume;
    return v.phase() == Phase.DRAINING
        ? whenDone(carrier.drain(v, s.tenant), s, (r, at) -> r.drained(at, v.id()))
        : whenDone(carrier.serve(v, s.tenant, s.terms), s, (r, at) -> r.settled(at, v));
  }

  private CompletableFuture<Void> whenDone(CompletableFuture<Void> done, Step s,
      BiFunction<Registrar, Long, Entry> then) {
    return done.whenComplete((ok, error) -> {
      if (closing) {
        return;
      }
      if (error == null) {
        command(then, r -> null);
      } else {
        LOG.atWarn()
            .addKeyValue("volume", s.volume.name())
            .addKeyValue("why", error.getMessage())
            .log("volume.step");
        thread.schedule(() -> again(s), RETRY_MS, TimeUnit.MILLISECONDS);
      }
    });
  }

  /** Once more, with what is recorded by now. */
  private void again(Step s) {
    HostedVolume v = registry.volume(s.volume.id());
    if (v != null && !closing) {
      carry(step(v));
    }
  }

  /** Hears every line of the audit trail from now on, once it is synced; must not block. */
  public void listen(Consumer<Trail> listener) {
    listeners.add(listener);
  }

  public void forget(Consumer<Trail> listener) {
    listeners.remove(listener);
  }

  /** Why nothing can be changed any more; null: it can. */
  public Throwable broken() {
    return journal.broken();
  }

  Carrier carrier() {
    return carrier;
  }

  /** Ends; what was recorded is synced. */
  @Override
  public void close() {
    closing = true;
    thread.shutdown();
    try {
      thread.awaitTermination(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    try {
      journal.close();
    } catch (StoreException e) {
      LOG.atError().setCause(e).log("store.close");
    }
  }
}
