"""A desired state of version 0, a lost disk, and the end of all core processes. See claim.txt."""
import json, os, shutil, signal, sys, threading, time

import harness as H

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))
VERSION = int(os.environ.get("VERSION", "0"))
ROUTES = 350  # the largest dose of big_config that the site names
CATCH_UP_S = 4.0
RECOVERY_S = 12.0
CONTACT_S = 3.0

record = H.Record(os.path.join(HERE, "record.txt"))


class App(H.Worker):
    def run(self, s, method, path, headers, body):
        record.write("run %s by %s" % (headers["mulberrypath-attempt-id"], self.id))
        self.answer(s, "200 OK", self.proof(headers), b"booked")
        return True


def desired_state():
    """The usual route, and as many further ones as the site's largest growth."""
    routes = [H.route("r-book", "/book/", "non_idempotent", "order-desk")]
    routes += [H.route("r-more-%06d" % i, "/more%06d/" % i, "idempotent", "order-desk") for i in range(ROUTES)]
    return {"version": VERSION, "routes": routes, "services": [H.plain_service("order-desk")], "limits": H.LIMITS}


def read_back(deployment, core):
    return deployment.call(core.ip, deployment.ports["control"], "GET", "/api/configuration")


def lose_disk(core):
    """The core ends, and starts at its old address with an empty folder and no founding."""
    record.write("%s loses its disk" % core.name)
    core.send(signal.SIGKILL)
    core.process.wait()
    shutil.rmtree(core.settings["dataFolder"])
    os.makedirs(core.settings["dataFolder"])
    time.sleep(0.5)
    core.start()
    record.write("%s is back with an empty disk" % core.name)


def kill_all(cores):
    record.write("all core processes are killed")
    for c in cores:
        c.send(signal.SIGKILL)
    for c in cores:
        c.process.wait()
    time.sleep(0.5)
    for c in cores:
        c.start()
    record.write("all core processes are back, with their disks")


def main():
    deployment = H.Deployment()
    text = json.dumps(desired_state()).encode()
    try:
        deployment.start()
        App(deployment, record, "i-desk0", "order-desk", 6)
        status, rest = deployment.control("PUT", "/api/configuration", text)
        if status != 200:
            raise H.CannotRun("version %d was answered %d %s" % (VERSION, status, rest[:100]))
        record.write("sent version %d of %d bytes: 200, acknowledged" % (VERSION, len(text)))
        deployment.wait_ready()
        time.sleep(CONTACT_S)
        status, rest = read_back(deployment, deployment.cores[0])
        record.write("read back at %s: %d, %d bytes" % (deployment.cores[0].name, status, len(rest)))
        if status != 200 or rest != text:
            raise H.CannotRun("the desired state could not be read before the trouble")
        c = H.Client((deployment.edges[0].ip, deployment.ports["front"]))
        status = c.request("POST", "/book/x", "a-before", 4000, body=b"1")[0]
        record.write("answer a-before: %d" % status)
        if TROUBLE:
            lose_disk(deployment.cores[2])
            time.sleep(CATCH_UP_S + CONTACT_S)
            kill_all(deployment.cores)
        end = time.monotonic() + RECOVERY_S + CONTACT_S
        found, answers = False, {}
        while time.monotonic() < end and not found:
            for core in deployment.cores:
                status, rest = read_back(deployment, core)
                reason = rest[:80].decode("latin-1") if status != 200 else "%d bytes" % len(rest)
                if answers.get(core.name) != (status, reason):
                    record.write("read back at %s: %s, %s" % (core.name, status if status else "none", reason))
                answers[core.name] = (status, reason)
                found = found or (status == 200 and rest == text)
            time.sleep(0.3)
        c.close()
        status = c.request("POST", "/book/x", "a-after", 4000, body=b"1")[0]
        record.write("answer a-after: %s" % (status if status > 0 else "none"))
        print("version %d, acknowledged: %s; %s" % (
            VERSION, "read back as sent" if found else "not read back for %.0f s" % (RECOVERY_S + CONTACT_S),
            ", ".join("%s %d" % (n, a[0]) for n, a in sorted(answers.items()))))
        if not found:
            record.write("BROKEN: version %d was acknowledged and is gone" % VERSION)
        return 0 if found else 1
    except H.CannotRun as e:
        print("cannot run:", e)
        return 2
    finally:
        deployment.end()


if __name__ == "__main__":
    sys.exit(main())
