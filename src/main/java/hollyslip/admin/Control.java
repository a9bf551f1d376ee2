package hollyslip.admin;

import hollyslip.HostScheduler.VolumeChanged;
import hollyslip.store.StoreDirectory;
import hollyslip.store.Journal;
import hollyslip.store.StoreException;
import hollyslip.tenant.Change;
import hollyslip.tenant.ChangeSet;
import hollyslip.tenant.HostedVolume;
import hollyslip.tenant.Phase;
import hollyslip.tenant.RegistryCommandHandler;
import hollyslip.tenant.Registry;
import hollyslip.tenant.Shard;
import hollyslip.tenant.Tenant;
import hollyslip.tenant.AuditRecord;
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
  private final RegistryCommandHandler registrar;
  private final Journal journal;
  private final Carrier provisioner;
  private final int hosts;
  private final LongSupplier clock;
  private final Set<Consumer<AuditRecord>> listeners = ConcurrentHashMap.newKeySet();
  private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(r -> {
    Thread t = new Thread(r, "control");
    t.setDaemon(true);
    return t;
  });
  private CompletableFuture<Long> lastAppend = CompletableFuture.completedFuture(0L);
  private long bytesSinceSnapshot;
  private volatile boolean closing;

  /** What a record asks of the carrier. */
  private record ProvisioningStep(HostedVolume volume, Tenant tenant, VolumeChanged terms) {}

  /** Opens the store and carries out what it holds.
   *
   * @param firstId
   *          ids from here on are given away
   * @param hosts
   *          gateways of the deployment
   * @param clock
   *          ms since 1970 */
  public Control(StoreDirectory disk, Collection<Shard> shards, long firstId, int hosts, Carrier carrier,
      LongSupplier clock) throws IOException {
    this.provisioner = carrier;
    this.hosts = hosts;
    this.clock = clock;
    journal = new Journal(disk);
    try {
      Journal.RecoveredState found = journal.recovered();
      found.warnings().forEach(r -> LOG.atWarn().addKeyValue("remark", r).log("store.opened"));
      registry = found.state() == null
          ? new Registry(shards, firstId)
          : new Registry(shards, RegistryCodec.decodeSnapshot(found.state()));
      long sequence = found.sequence();
      for (byte[] record : found.records()) {
        registry.apply(++sequence, RegistryCodec.decodeChangeSet(record));
        bytesSinceSnapshot += record.length;
      }
      registrar = new RegistryCommandHandler(registry);
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
    submit(tried, () -> {
      registry.nodes().forEach(n -> provisioner.node(n.node(), n.state()));
      List<CompletableFuture<Void>> all = new ArrayList<>();
      registry.volumes()
          .stream()
          .sorted((a, b) -> Long.compare(a.id(), b.id()))
          .forEach(v -> all.add(provision(toStep(v)).exceptionally(e -> null)));
      CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0])).thenRun(() -> tried.complete(null));
    });
    return tried;
  }

  private ProvisioningStep toStep(HostedVolume v) {
    return new ProvisioningStep(v, registry.tenant(v.tenant()), registry.toVolumeChanged(v, hosts));
  }

  /** A command: decided on the registry as it then stands; complete, with the view after it, once it is
   * synced. A decision of null changes nothing and is no error. */
  public <T> CompletableFuture<T> command(BiFunction<RegistryCommandHandler, Long, ChangeSet> decide,
      Function<Registry, T> view) {
    return command(decide, (r, entry) -> view.apply(r));
  }

  /** As the other, with the entry for the view. */
  <T> CompletableFuture<T> command(BiFunction<RegistryCommandHandler, Long, ChangeSet> decide,
      BiFunction<Registry, ChangeSet, T> view) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    submit(answer, () -> {
      if (journal.failure() != null) {
        throw storeFailedException();
      }
      ChangeSet entry = decide.apply(registrar, clock.getAsLong());
      if (entry != null) {
        record(entry);
      }
      completeWhenSynced(answer, view.apply(registry, entry));
    });
    return answer;
  }

  /** Something read from the registry; complete once all that it may have seen is synced. */
  public <T> CompletableFuture<T> read(Function<Registry, T> view) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    submit(answer, () -> completeWhenSynced(answer, view.apply(registry)));
    return answer;
  }

  private <T> void completeWhenSynced(CompletableFuture<T> answer, T value) {
    lastAppend.whenComplete((done, error) -> {
      if (error == null) {
        answer.complete(value);
      } else {
        answer.completeExceptionally(storeFailedException());
      }
    });
  }

  private static RuntimeException storeFailedException() {
    return new IllegalStateException("the store cannot be written; see the log");
  }

  private void submit(CompletableFuture<?> answer, Runnable task) {
    try {
      executor.execute(() -> {
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

  private void record(ChangeSet entry) {
    byte[] bytes = RegistryCodec.encode(entry);
    CompletableFuture<Long> write = journal.append(bytes);
    long sequence = journal.lastSequence();
    lastAppend = write;
    List<AuditRecord> before = new ArrayList<>();
    Consumer<AuditRecord> collect = before::add;
    registry.apply(sequence, entry, collect);
    List<ProvisioningStep> steps = new ArrayList<>();
    List<Change.NodeStatePut> nodes = new ArrayList<>();
    for (Change c : entry.changes()) {
      if (c instanceof Change.VolumePut v && v.volume().phase() != Phase.ACTIVE) {
        steps.add(toStep(v.volume()));
      } else if (c instanceof Change.NodeStatePut n) {
        nodes.add(n);
      }
    }
    CompletableFuture<Void> carried = new CompletableFuture<>();
    carried.exceptionally(e -> {
      // What could not be begun is not tried again before the next start; it must not pass unseen.
      LOG.atError().setCause(e).addKeyValue("target", entry.target()).log("volume.fault");
      return null;
    });
    write.thenRun(() -> submit(carried, () -> {
      steps.forEach(this::provision);
      nodes.forEach(n -> provisioner.node(n.node(), n.state()));
      before.forEach(t -> listeners.forEach(l -> l.accept(t)));
    }));
    bytesSinceSnapshot += bytes.length;
    if (bytesSinceSnapshot > SNAPSHOT_BYTES) {
      bytesSinceSnapshot = 0;
      snapshot();
    }
  }

  private CompletableFuture<Long> snapshot() {
    Registry.Snapshot image = registry.snapshot();
    return journal.snapshot(journal.lastSequence(), () -> RegistryCodec.encode(image));
  }

  /** Keeps the present state as a snapshot. */
  public CompletableFuture<Long> keep() {
    CompletableFuture<Long> done = new CompletableFuture<>();
    submit(done, () -> snapshot().whenComplete((n, e) -> {
      if (e == null) {
        done.complete(n);
      } else {
        done.completeExceptionally(e);
      }
    }));
    return done;
  }

  private CompletableFuture<Void> provision(ProvisioningStep s) {
    HostedVolume v = s.volume;
    return v.phase() == Phase.DRAINING
        ? whenDone(provisioner.drain(v, s.tenant), s, (r, at) -> r.volumeDrained(at, v.id()))
        : whenDone(provisioner.serve(v, s.tenant, s.terms), s, (r, at) -> r.volumeServed(at, v));
  }

  private CompletableFuture<Void> whenDone(CompletableFuture<Void> done, ProvisioningStep s,
      BiFunction<RegistryCommandHandler, Long, ChangeSet> then) {
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
        executor.schedule(() -> retry(s), RETRY_MS, TimeUnit.MILLISECONDS);
      }
    });
  }

  /** Once more, with what is recorded by now. */
  private void retry(ProvisioningStep s) {
    HostedVolume v = registry.volume(s.volume.id());
    if (v != null && !closing) {
      provision(toStep(v));
    }
  }

  /** Hears every line of the audit trail from now on, once it is synced; must not block. */
  public void addAuditListener(Consumer<AuditRecord> listener) {
    listeners.add(listener);
  }

  public void removeAuditListener(Consumer<AuditRecord> listener) {
    listeners.remove(listener);
  }

  /** Why nothing can be changed any more; null: it can. */
  public Throwable storeFailure() {
    return journal.failure();
  }

  Carrier provisioner() {
    return provisioner;
  }

  /** Ends; what was recorded is synced. */
  @Override
  public void close() {
    closing = true;
    executor.shutdown();
    try {
      executor.awaitTermination(5, TimeUnit.SECONDS);
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
