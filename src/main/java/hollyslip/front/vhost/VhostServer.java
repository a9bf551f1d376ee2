package hollyslip.front.vhost;

import hollyslip.engine.Engine;
import hollyslip.front.sys.Linux;
import hollyslip.volume.Volume;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Listens on one Unix socket a volume and makes a {@link Device} of each connection. */
public final class VhostServer {
  private static final Logger LOG = LoggerFactory.getLogger(VhostServer.class);

  /** Clients of one volume at a time. */
  private static final int MOST_DEVICES = 64;

  private final Engine engine;
  private final Path path;
  private final String volume;
  private final int socket;
  private final Thread acceptor;
  private final Set<Device> devices = ConcurrentHashMap.newKeySet();
  private volatile boolean closing;

  /** @param path
   *          of the socket; a file left there is replaced */
  public VhostServer(Engine engine, String volume, Path path) throws IOException {
    this.engine = engine;
    this.volume = volume;
    this.path = path;
    socket = Linux.listen(path);
    acceptor = new Thread(this::accept, "vhost-" + volume);
    acceptor.setDaemon(true);
    acceptor.start();
  }

  private void accept() {
    while (!closing) {
      int fd = -1;
      try {
        fd = Linux.accept(socket);
        Volume v = engine.volumes().get(volume);
        if (closing || v == null || devices.size() >= MOST_DEVICES) {
          Linux.closeAll(fd);
          continue;
        }
        open(v, fd);
      } catch (IOException e) {
        Linux.closeAll(fd);
        if (!closing) {
          LOG.atWarn().addKeyValue("volume", volume).addKeyValue("why", e.getMessage()).log("vhost.accept");
        }
      }
    }
    Linux.closeAll(socket);
  }

  private void open(Volume v, int fd) throws IOException {
    Device[] self = new Device[1];
    self[0] = new Device(engine, v, fd, () -> devices.remove(self[0]));
    devices.add(self[0]);
    Thread t = new Thread(self[0], "device-" + volume);
    t.setDaemon(true);
    t.start();
    LOG.atInfo().addKeyValue("volume", volume).addKeyValue("tenant", v.tenant()).log("device.opened");
  }

  /** Where it listens. */
  public Path path() {
    return path;
  }

  /** Devices that have not ended. */
  public int devices() {
    return devices.size();
  }

  /** Takes no more connections and ends the devices. Answers must have been given before. */
  public void close() {
    closing = true;
    try {
      // A blocked accept does not end when its socket is closed: a connection of our own wakes it.
      Linux.closeAll(Linux.connect(path));
      acceptor.join(1_000);
      Files.deleteIfExists(path);
    } catch (IOException e) {
      LOG.atDebug().addKeyValue("volume", volume).addKeyValue("why", e.getMessage()).log("vhost.close");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    devices.forEach(Device::stop);
  }
}
